/**
 * Proves two properties of the control plane with real processes on loopback: no accepted edit is lost
 * when the leader is killed, and a leader that is stopped with SIGSTOP until its lease has expired sends
 * no order after SIGCONT.
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

const voterNames = ['gp-north-1', 'gp-south-1', 'wc-depot-1'];
const proposalIntervalMilliseconds = 5;
const streamDurationMilliseconds = 2_000;
const catchUpDurationMilliseconds = 3_000;
const orderIntervalMilliseconds = 50;

interface ControlCluster {
  readonly file: string;
  readonly recorder: OrderRecorder;
  readonly processes: readonly ControlProcess[];
}

const startVoter = (file: string, recorder: OrderRecorder, name: string): Promise<ControlProcess> =>
  startControlProcess(file, name, recorder.addressFor(name));

const otherProcesses = (cluster: ControlCluster, excluded: ControlProcess): ControlProcess[] =>
  cluster.processes.filter((controlProcess) => controlProcess !== excluded);

const countMissing = async (
  processes: readonly ControlProcess[],
  ids: readonly string[],
): Promise<number> => {
  const reports = await Promise.all(
    processes.map((controlProcess) => controlProcess.answer({ kind: 'remembered', ids })),
  );
  return reports.reduce((count, { missing }) => count + missing.length, 0);
};

const computeFailoverMilliseconds = ({ accepted }: ProposalStream, killedAt: number): number =>
  Math.min(
    ...accepted.filter((proposal) => proposal.sentAt > killedAt).map((row) => row.acceptedAt),
  ) - killedAt;

const proveLeaderKill = async (cluster: ControlCluster): Promise<ProofResult[]> => {
  const leader = await waitForLeader(cluster.processes);
  const survivors = otherProcesses(cluster, leader);
  const stream = startProposalStream(survivors[0]!, 'kill', proposalIntervalMilliseconds);
  await delay(streamDurationMilliseconds);
  const killedAt = performance.now();
  await leader.kill();
  await delay(maximumFailoverMilliseconds + streamDurationMilliseconds);
  await stream.end();
  const restarted = await startVoter(cluster.file, cluster.recorder, leader.name);
  await delay(catchUpDurationMilliseconds);
  const ids = stream.accepted.map(({ id }) => id);
  const missingCount = await countMissing([...survivors, restarted], ids);
  await restarted.kill();
  const failoverMilliseconds = computeFailoverMilliseconds(stream, killedAt);
  return [
    { name: 'kill.accepted_edits', value: ids.length, isMet: ids.length > 0 },
    { name: 'kill.accepted_edits_lost', value: missingCount, isMet: missingCount === 0 },
    {
      name: `kill.failover_ms (bound ${maximumFailoverMilliseconds})`,
      value: Math.round(failoverMilliseconds),
      isMet: failoverMilliseconds <= maximumFailoverMilliseconds,
    },
  ];
};

const proveLeaderStop = async (cluster: ControlCluster): Promise<ProofResult[]> => {
  const { orders } = cluster.recorder;
  const oldLeader = await waitForLeader(cluster.processes);
  let count = 0;
  const timer = setInterval(() => {
    count += 1;
    const order = `order-${count}`;
    otherProcesses(cluster, oldLeader)[0]!.sendRequest({
      kind: 'proposeOrder',
      id: `intend-${order}`,
      order,
    });
  }, orderIntervalMilliseconds);
  await delay(streamDurationMilliseconds);
  oldLeader.signal('SIGSTOP');
  const stoppedAt = performance.now();
  await delay(
    leaseDurationMilliseconds + maximumFailoverMilliseconds + orderDelayAfterElectionMilliseconds,
  );
  await waitForLeader(otherProcesses(cluster, oldLeader));
  await delay(streamDurationMilliseconds);
  const ordersOfNewLeader = orders.filter(
    (row) => row.at > stoppedAt && row.daemon !== oldLeader.name,
  );
  oldLeader.signal('SIGCONT');
  const continuedAt = performance.now();
  await delay(streamDurationMilliseconds);
  clearInterval(timer);
  await delay(streamDurationMilliseconds);
  const ordersBeforeStop = orders.filter(
    (row) => row.at < stoppedAt && row.daemon === oldLeader.name,
  );
  const ordersAfterContinue = orders.filter(
    (row) => row.at >= continuedAt && row.daemon === oldLeader.name,
  );
  return [
    {
      name: 'stop.orders_of_old_leader_before',
      value: ordersBeforeStop.length,
      isMet: ordersBeforeStop.length > 0,
    },
    {
      name: 'stop.orders_of_new_leader',
      value: ordersOfNewLeader.length,
      isMet: ordersOfNewLeader.length > 0,
    },
    {
      name: 'stop.orders_of_old_leader_after',
      value: ordersAfterContinue.length,
      isMet: ordersAfterContinue.length === 0,
    },
    {
      name: 'stop.orders_given_twice',
      value: orders.length - new Set(orders.map(({ order }) => order)).size,
      isMet: orders.length === new Set(orders.map(({ order }) => order)).size,
    },
  ];
};

const runInCluster = async (
  prove: (cluster: ControlCluster) => Promise<ProofResult[]>,
): Promise<ProofResult[]> => {
  const { file } = await writeDemoDeployment();
  const recorder = await openOrderRecorder();
  const processes = await Promise.all(voterNames.map((name) => startVoter(file, recorder, name)));
  try {
    return await prove({ file, recorder, processes });
  } finally {
    await Promise.all(processes.map((controlProcess) => controlProcess.kill()));
    recorder.close();
  }
};

/** Runs both proofs, each in a new cluster. */
export const proveControl = async (): Promise<readonly ProofResult[]> => [
  ...(await runInCluster(proveLeaderKill)),
  ...(await runInCluster(proveLeaderStop)),
];
