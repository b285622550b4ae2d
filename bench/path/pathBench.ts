/**
 * Measures the request path over real sockets: requests through one entry compared with the same requests
 * sent directly to the same stand-in engine, in alternating rounds of one run. The entry, the engine and
 * the caller are separate processes.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import { Agent } from 'undici';
import { delay } from '../../src/base/node/delay.js';
import { chatCompletionsPath } from '../../src/service/protocol/common/engineProtocol.js';
import { writeDemoDeployment } from '../../scripts/demo/deployment.js';
import { createProcesses } from '../../scripts/demo/processes.js';
import type { Measurement } from '../measurement.js';

const concurrency = 32;
const requestsPerRound = 2_000;
const roundCount = 5;
/** Requests per second on one entry at the design size: 51,000 requests per second on 900 daemons. */
const designRequestsPerSecond = 57;
const pacedRequestCount = 400;
const readinessTimeoutMilliseconds = 10_000;
const microsecondsPerMillisecond = 1000;
const callerKey = 'demo-key-bay-plans';
const body = JSON.stringify({
  model: 'planner-lm',
  messages: [{ role: 'user', content: 'Which bay is free?' }],
  max_tokens: 8,
});

interface Target {
  readonly origin: string;
  readonly histogram: Histogram;
  readonly rates: number[];
}

const createTarget = (origin: string): Target => ({ origin, histogram: build(), rates: [] });

const send = async (agent: Agent, origin: string): Promise<number> => {
  const response = await agent.request({
    origin,
    path: chatCompletionsPath,
    method: 'POST',
    headers: { authorization: `Bearer ${callerKey}`, 'content-type': 'application/json' },
    body,
  });
  await response.body.dump();
  return response.statusCode;
};

const measureRequest = async (agent: Agent, target: Target): Promise<void> => {
  const startedAt = performance.now();
  const status = await send(agent, target.origin);
  if (status !== 200)
    throw new Error(`${target.origin} answered a bench request with status ${status}`);
  const microseconds = (performance.now() - startedAt) * microsecondsPerMillisecond;
  target.histogram.recordValue(Math.round(microseconds));
};

const sendConcurrently = async (agent: Agent, target: Target, count: number): Promise<void> => {
  let remainingCount = count;
  const runWorker = async (): Promise<void> => {
    while (remainingCount > 0) {
      remainingCount -= 1;
      await measureRequest(agent, target);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, runWorker));
};

/** Sends requests at the rate of one entry at the design size, without waiting for the responses. */
const sendPaced = async (agent: Agent, target: Target): Promise<void> => {
  const responses: Promise<void>[] = [];
  for (let count = 0; count < pacedRequestCount; count += 1) {
    responses.push(measureRequest(agent, target));
    await delay(1000 / designRequestsPerSecond);
  }
  await Promise.all(responses);
};

const runRound = async (agent: Agent, target: Target): Promise<void> => {
  const startedAt = performance.now();
  await sendConcurrently(agent, target, requestsPerRound);
  target.rates.push((requestsPerRound * 1000) / (performance.now() - startedAt));
};

const waitUntilServing = async (agent: Agent, origin: string): Promise<void> => {
  const deadline = performance.now() + readinessTimeoutMilliseconds;
  while (performance.now() < deadline) {
    const status = await send(agent, origin).catch(() => 0);
    if (status === 200) return;
  }
  throw new Error(`${origin} did not answer with status 200 in time`);
};

const computeMedian = (values: readonly number[]): number =>
  [...values].sort((first, second) => first - second)[Math.floor(values.length / 2)]!;

const computeP99Milliseconds = (target: Target): number =>
  target.histogram.getValueAtPercentile(99) / microsecondsPerMillisecond;

const measure = async (agent: Agent, entry: Target, direct: Target): Promise<Measurement[]> => {
  await sendConcurrently(agent, createTarget(entry.origin), requestsPerRound);
  await sendConcurrently(agent, createTarget(direct.origin), requestsPerRound);
  for (let round = 0; round < roundCount; round += 1) {
    await runRound(agent, direct);
    await runRound(agent, entry);
  }
  const pacedEntry = createTarget(entry.origin);
  const pacedDirect = createTarget(direct.origin);
  await Promise.all([sendPaced(agent, pacedDirect), sendPaced(agent, pacedEntry)]);
  const entryRate = computeMedian(entry.rates);
  const directRate = computeMedian(direct.rates);
  return [
    { name: 'entry_throughput', value: entryRate, unit: 'requests/s' },
    { name: 'direct_throughput', value: directRate, unit: 'requests/s' },
    { name: 'entry_throughput_ratio', value: entryRate / directRate, unit: 'ratio' },
    { name: 'entry_saturated_latency_p99', value: computeP99Milliseconds(entry), unit: 'ms' },
    { name: 'direct_saturated_latency_p99', value: computeP99Milliseconds(direct), unit: 'ms' },
    {
      name: 'entry_added_latency_p99',
      value: computeP99Milliseconds(pacedEntry) - computeP99Milliseconds(pacedDirect),
      unit: 'ms',
    },
  ];
};

/** Measures the throughput and latency of one entry compared with the engine behind it. */
export const runPathBench = async (): Promise<readonly Measurement[]> => {
  const processes = createProcesses();
  const agent = new Agent({ connections: concurrency });
  try {
    const deployment = await writeDemoDeployment();
    const entry = `http://${deployment.callerAddresses[0]!}`;
    // The entry accepts requests with keys only while a quorum of voters runs.
    deployment.voterNames.forEach((name) => processes.startDaemon(deployment.file, name));
    const engine = await processes.startChild<string>(
      'engine',
      new URL('./engineProcess.js', import.meta.url),
      [entry],
    );
    await waitUntilServing(agent, entry);
    return await measure(agent, createTarget(entry), createTarget(engine));
  } finally {
    await agent.destroy();
    await processes.endAll();
  }
};
