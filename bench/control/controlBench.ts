/**
 * Measures the control plane with real processes on loopback and real files: the latency and rate of
 * commits that a quorum has synced to disk, the failover time after a leader is killed, and the network
 * and processor usage of an idle daemon.
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

const idleDurationMilliseconds = 10_000;
const streamDurationMilliseconds = 5_000;
const latencyIntervalMilliseconds = 20;
const rateIntervalMilliseconds = 1;
const rateStreamCount = 20;
const highQuantile = 0.99;
const unreachableUpstreamAddress = 'http://127.0.0.1:1';

const computeQuantile = (values: readonly number[], fraction: number): number => {
  const sorted = [...values].sort((first, second) => first - second);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? Number.NaN;
};

const computeMedian = (values: readonly number[]): number => computeQuantile(values, 0.5);

const startProcesses = async (names: readonly string[], file: string): Promise<ControlProcess[]> =>
  Promise.all(names.map((name) => startControlProcess(file, name, unreachableUpstreamAddress)));

/** Measures the usage of each daemon without edits, including the all-to-all membership heartbeats. */
const measureIdle = async (processes: readonly ControlProcess[]): Promise<Measurement[]> => {
  const requestStatuses = () =>
    Promise.all(processes.map((controlProcess) => controlProcess.answer({ kind: 'status' })));
  const before = await requestStatuses();
  await delay(idleDurationMilliseconds);
  const after = await requestStatuses();
  const averagePerSecond = (computeDifference: (position: number) => number): number =>
    (after.reduce((sum, _, position) => sum + computeDifference(position), 0) / after.length) *
    (millisecondsPerSecond / idleDurationMilliseconds);
  const sentBytesPerSecond = averagePerSecond(
    (position) => after[position]!.sentBytes - before[position]!.sentBytes,
  );
  const processorMillisecondsPerSecond = averagePerSecond(
    (position) => after[position]!.processorMilliseconds - before[position]!.processorMilliseconds,
  );
  const label = `${processes.length}_daemons`;
  return [
    {
      name: `control_bytes_per_second_per_daemon.${label}`,
      value: sentBytesPerSecond,
      unit: 'B/s',
    },
    {
      name: `control_cpu_share_per_daemon.${label}`,
      value: processorMillisecondsPerSecond / millisecondsPerSecond,
      unit: 'core',
    },
  ];
};

const measureLatency = async (leader: ControlProcess): Promise<Measurement[]> => {
  const stream = startProposalStream(leader, 'latency', latencyIntervalMilliseconds);
  await delay(streamDurationMilliseconds);
  await stream.end();
  const latencies = stream.accepted.map(({ milliseconds }) => milliseconds);
  return [
    { name: 'commit_latency_median', value: computeMedian(latencies), unit: 'ms' },
    { name: 'commit_latency_p99', value: computeQuantile(latencies, highQuantile), unit: 'ms' },
  ];
};

const measureRate = async (leader: ControlProcess): Promise<Measurement[]> => {
  const streams = Array.from({ length: rateStreamCount }, (_, position) =>
    startProposalStream(leader, `rate-${position}`, rateIntervalMilliseconds),
  );
  const startedAt = performance.now();
  await delay(streamDurationMilliseconds);
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
  const survivor = processes.find((controlProcess) => controlProcess !== leader)!;
  const stream = startProposalStream(survivor, 'failover', latencyIntervalMilliseconds);
  await delay(millisecondsPerSecond);
  const killedAt = performance.now();
  await leader.kill();
  await delay(maximumFailoverMilliseconds);
  await stream.end();
  const acceptedAfterKill = stream.accepted.filter((proposal) => proposal.sentAt > killedAt);
  const value = Math.min(...acceptedAfterKill.map((proposal) => proposal.acceptedAt)) - killedAt;
  return [
    { name: 'failover_time', value, unit: 'ms' },
    { name: 'failover_time_bound', value: maximumFailoverMilliseconds, unit: 'ms' },
  ];
};

/** Runs the bench, and kills its processes at the end even if a measurement fails. */
export const runControlBench = async (): Promise<readonly Measurement[]> => {
  const { file, names } = await writeDemoDeployment();
  const voterNames = ['gp-north-1', 'gp-south-1', 'wc-depot-1'];
  const voters = await startProcesses(voterNames, file);
  const learners: ControlProcess[] = [];
  try {
    const leader = await waitForLeader(voters);
    const idleVoterMeasurements = await measureIdle(voters);
    const learnerNames = names.filter((name) => !voterNames.includes(name));
    learners.push(...(await startProcesses(learnerNames, file)));
    const idleMeasurements = await measureIdle([...voters, ...learners]);
    return [
      ...idleVoterMeasurements,
      ...idleMeasurements,
      ...(await measureLatency(leader)),
      ...(await measureRate(leader)),
      ...(await measureFailover(voters, leader)),
    ];
  } finally {
    await Promise.all([...voters, ...learners].map((controlProcess) => controlProcess.kill()));
  }
};
