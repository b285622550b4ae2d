/**
 * Measures control with real processes on loopback and real files: the latency and rate of acceptances
 * that are synced on a quorum, the time until a killed leader is replaced, and what a daemon spends.
 */
import { delay } from '../../src/base/node/delay.js';
import { millisecondsPerSecond } from '../../src/base/common/time.js';
import { maximumFailoverMilliseconds } from '../../src/service/consensus/common/consensusTiming.js';
import { writeDemoDeployment } from '../../scripts/demo/deployment.js';
import {
  startControlProcess,
  waitForLeader,
  type ControlProcess,
} from '../../scripts/prove/control/controlProcesses.js';
import { startProposalStream } from '../../scripts/prove/control/proposalStream.js';
import type { Measurement } from '../measurement.js';

const idleMilliseconds = 10_000;
const streamMilliseconds = 5_000;
const latencyInterval = 20;
const rateInterval = 1;
const rateBurst = 20;
const highQuantile = 0.99;
const noUpstream = 'http://127.0.0.1:1';

const quantile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((first, second) => first - second);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;
};

const median = (values: readonly number[]): number => quantile(values, 0.5);

const startAll = async (names: readonly string[], file: string): Promise<ControlProcess[]> =>
  Promise.all(names.map((name) => startControlProcess(file, name, noUpstream)));

/** What each daemon spends while nothing is changed, all to all heartbeats of membership included. */
const measureIdle = async (processes: readonly ControlProcess[]): Promise<Measurement[]> => {
  const ask = () => Promise.all(processes.map((each) => each.answer({ kind: 'status' })));
  const before = await ask();
  await delay(idleMilliseconds);
  const after = await ask();
  const perSecond = (of: (position: number) => number): number =>
    (after.reduce((sum, _, position) => sum + of(position), 0) / after.length) *
    (millisecondsPerSecond / idleMilliseconds);
  const bytes = perSecond((at) => after[at]!.sentBytes - before[at]!.sentBytes);
  const busy = perSecond(
    (at) => after[at]!.processorMilliseconds - before[at]!.processorMilliseconds,
  );
  const label = `${processes.length}_daemons`;
  return [
    { name: `control_bytes_per_second_per_daemon.${label}`, value: bytes, unit: 'B/s' },
    {
      name: `control_cpu_share_per_daemon.${label}`,
      value: busy / millisecondsPerSecond,
      unit: 'core',
    },
  ];
};

const measureLatency = async (leader: ControlProcess): Promise<Measurement[]> => {
  const stream = startProposalStream(leader, 'latency', latencyInterval);
  await delay(streamMilliseconds);
  await stream.end();
  const latencies = stream.accepted.map(({ milliseconds }) => milliseconds);
  return [
    { name: 'commit_latency_median', value: median(latencies), unit: 'ms' },
    { name: 'commit_latency_p99', value: quantile(latencies, highQuantile), unit: 'ms' },
  ];
};

const measureRate = async (leader: ControlProcess): Promise<Measurement[]> => {
  const streams = Array.from({ length: rateBurst }, (_, position) =>
    startProposalStream(leader, `rate-${position}`, rateInterval),
  );
  const startedAt = performance.now();
  await delay(streamMilliseconds);
  const endedAt = performance.now();
  await Promise.all(streams.map((stream) => stream.end()));
  const accepted = streams
    .flatMap((stream) => stream.accepted)
    .filter(({ acceptedAt }) => acceptedAt <= endedAt);
  const rate = (accepted.length * millisecondsPerSecond) / (endedAt - startedAt);
  return [{ name: 'commit_rate', value: rate, unit: '1/s' }];
};

const measureFailover = async (
  processes: readonly ControlProcess[],
  leader: ControlProcess,
): Promise<Measurement[]> => {
  const survivor = processes.find((each) => each !== leader)!;
  const stream = startProposalStream(survivor, 'failover', latencyInterval);
  await delay(millisecondsPerSecond);
  const killedAt = performance.now();
  await leader.kill();
  await delay(maximumFailoverMilliseconds);
  await stream.end();
  const after = stream.accepted.filter((row) => row.sentAt > killedAt);
  const value = Math.min(...after.map((row) => row.acceptedAt)) - killedAt;
  return [
    { name: 'failover_time', value, unit: 'ms' },
    { name: 'failover_time_bound', value: maximumFailoverMilliseconds, unit: 'ms' },
  ];
};

/** Runs the bench; processes are ended whatever happens. */
export const runControlBench = async (): Promise<readonly Measurement[]> => {
  const { file, names } = await writeDemoDeployment();
  const control = ['gp-north-1', 'gp-south-1', 'wc-depot-1'];
  const voters = await startAll(control, file);
  const learners: ControlProcess[] = [];
  try {
    const leader = await waitForLeader(voters);
    const idleVoters = await measureIdle(voters);
    const entries = names.filter((name) => !control.includes(name));
    learners.push(...(await startAll(entries, file)));
    const idleAll = await measureIdle([...voters, ...learners]);
    return [
      ...idleVoters,
      ...idleAll,
      ...(await measureLatency(leader)),
      ...(await measureRate(leader)),
      ...(await measureFailover(voters, leader)),
    ];
  } finally {
    await Promise.all([...voters, ...learners].map((each) => each.kill()));
  }
};
