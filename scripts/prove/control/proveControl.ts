/**
 * Proves control with real processes on loopback: a killed leader loses no accepted edit, and a leader
 * that is stopped past its lease and continued gives no order.
 */
import { delay } from '../../../src/base/node/delay.js';
import {
  maximumFailoverMilliseconds,
  leaseDurationMilliseconds,
  orderDelayAfterElectionMilliseconds,
} from '../../../src/service/consensus/common/consensusTiming.js';
import { writeDemoDeployment } from '../../demo/deployment.js';
import type { ProofResult } from '../proof.js';
import {
  openOrderRecorder,
  startControlProcess,
  waitForLeader,
  type ControlProcess,
  type OrderRecorder,
} from './controlProcesses.js';
import { startProposalStream, type ProposalStream } from './proposalStream.js';

const controlNames = ['gp-north-1', 'gp-south-1', 'wc-depot-1'];
const editMilliseconds = 5;
const streamMilliseconds = 2_000;
const catchUpMilliseconds = 3_000;
const orderMilliseconds = 50;

interface Stage {
  readonly file: string;
  readonly recorder: OrderRecorder;
  readonly processes: readonly ControlProcess[];
}

const start = (file: string, recorder: OrderRecorder, name: string): Promise<ControlProcess> =>
  startControlProcess(file, name, recorder.addressFor(name));

const others = (stage: Stage, than: ControlProcess): ControlProcess[] =>
  stage.processes.filter((each) => each !== than);

const countMissing = async (
  processes: readonly ControlProcess[],
  ids: readonly string[],
): Promise<number> => {
  const answers = await Promise.all(
    processes.map((each) => each.answer({ kind: 'remembered', ids })),
  );
  return answers.reduce((count, { missing }) => count + missing.length, 0);
};

const failoverOf = ({ accepted }: ProposalStream, killedAt: number): number =>
  Math.min(...accepted.filter((row) => row.sentAt > killedAt).map((row) => row.acceptedAt)) -
  killedAt;

const proveKill = async (stage: Stage): Promise<ProofResult[]> => {
  const leader = await waitForLeader(stage.processes);
  const survivors = others(stage, leader);
  const stream = startProposalStream(survivors[0]!, 'kill', editMilliseconds);
  await delay(streamMilliseconds);
  const killedAt = performance.now();
  await leader.kill();
  await delay(maximumFailoverMilliseconds + streamMilliseconds);
  await stream.end();
  const restarted = await start(stage.file, stage.recorder, leader.name);
  await delay(catchUpMilliseconds);
  const ids = stream.accepted.map(({ id }) => id);
  const missing = await countMissing([...survivors, restarted], ids);
  await restarted.kill();
  const failover = failoverOf(stream, killedAt);
  return [
    { name: 'kill.accepted_edits', value: ids.length, holds: ids.length > 0 },
    { name: 'kill.accepted_edits_lost', value: missing, holds: missing === 0 },
    {
      name: `kill.failover_ms (bound ${maximumFailoverMilliseconds})`,
      value: Math.round(failover),
      holds: failover <= maximumFailoverMilliseconds,
    },
  ];
};

const proveStop = async (stage: Stage): Promise<ProofResult[]> => {
  const { orders } = stage.recorder;
  const old = await waitForLeader(stage.processes);
  let count = 0;
  const timer = setInterval(() => {
    count += 1;
    const order = `order-${count}`;
    others(stage, old)[0]!.ask({ kind: 'proposeOrder', id: `intend-${order}`, order });
  }, orderMilliseconds);
  await delay(streamMilliseconds);
  old.signal('SIGSTOP');
  const stoppedAt = performance.now();
  await delay(
    leaseDurationMilliseconds + maximumFailoverMilliseconds + orderDelayAfterElectionMilliseconds,
  );
  await waitForLeader(others(stage, old));
  await delay(streamMilliseconds);
  const ordersOfNext = orders.filter((row) => row.at > stoppedAt && row.daemon !== old.name);
  old.signal('SIGCONT');
  const continuedAt = performance.now();
  await delay(streamMilliseconds);
  clearInterval(timer);
  await delay(streamMilliseconds);
  const before = orders.filter((row) => row.at < stoppedAt && row.daemon === old.name);
  const late = orders.filter((row) => row.at >= continuedAt && row.daemon === old.name);
  return [
    { name: 'stop.orders_of_old_leader_before', value: before.length, holds: before.length > 0 },
    {
      name: 'stop.orders_of_new_leader',
      value: ordersOfNext.length,
      holds: ordersOfNext.length > 0,
    },
    { name: 'stop.orders_of_old_leader_after', value: late.length, holds: late.length === 0 },
    {
      name: 'stop.orders_given_twice',
      value: orders.length - new Set(orders.map(({ order }) => order)).size,
      holds: orders.length === new Set(orders.map(({ order }) => order)).size,
    },
  ];
};

const onStage = async (prove: (stage: Stage) => Promise<ProofResult[]>): Promise<ProofResult[]> => {
  const { file } = await writeDemoDeployment();
  const recorder = await openOrderRecorder();
  const processes = await Promise.all(controlNames.map((name) => start(file, recorder, name)));
  try {
    return await prove({ file, recorder, processes });
  } finally {
    await Promise.all(processes.map((each) => each.kill()));
    recorder.close();
  }
};

/** Runs both proofs. */
export const proveControl = async (): Promise<readonly ProofResult[]> => [
  ...(await onStage(proveKill)),
  ...(await onStage(proveStop)),
];
