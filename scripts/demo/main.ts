/**
 * The demo: starts seven daemons and the stand-in upstreams as processes on loopback, sends one prompt
 * request, runs one lot of rollouts while the engines swap their weights, and prints the end of the
 * merged timeline. With `--keep` it runs until SIGINT or SIGTERM.
 */
import { request } from 'undici';
import { delay } from '../../src/base/node/delay.js';
import { readMergedTimeline } from '../../src/command/timeline/node/timelineCommand.js';
import { formatEvent } from '../../src/infrastructure/timeline/common/timelineEvent.js';
import type { Advice } from '../../src/service/advice/common/advice.js';
import {
  chatCompletionsPath,
  ordersPath,
} from '../../src/service/protocol/common/engineProtocol.js';
import { startTrainer } from '../../standins/index.js';
import { writeDemoDeployment, type DemoDeployment } from './deployment.js';
import { createProcesses, type Processes } from './processes.js';

const readinessTimeoutMilliseconds = 10_000;
const pollIntervalMilliseconds = 50;
const swapDelayMilliseconds = 60;
const printedEventCount = 12;
const callerKey = 'demo-key-bay-plans';
const trainerKey = 'demo-key-stacking-planner';

/** The addresses of the stand-in upstreams. */
interface StandInAddresses {
  readonly engines: readonly string[];
  readonly plain: string;
}

const print = (text: string): void => console.log(text);

const requestAdvice = async (address: string): Promise<Advice | undefined> => {
  try {
    const response = await request(`http://${address}/v1/address?zone=gp-north`);
    return (await response.body.json()) as Advice;
  } catch {
    return undefined;
  }
};

/** Whether an entry advises the address of every daemon, and each daemon accepts requests with keys. */
const isReady = (advice: Advice | undefined, demo: DemoDeployment): boolean =>
  advice?.addresses.length === demo.names.length &&
  advice.addresses.every(({ isFresh }) => isFresh);

const waitForDaemons = async (demo: DemoDeployment, processes: Processes): Promise<Advice> => {
  const deadline = performance.now() + readinessTimeoutMilliseconds;
  while (performance.now() < deadline) {
    if (processes.lost().length > 0) break;
    const advices = await Promise.all(demo.callerAddresses.map(requestAdvice));
    const areAllReady = advices.every((advice) => isReady(advice, demo));
    if (areAllReady) return advices[0]!;
    await delay(pollIntervalMilliseconds);
  }
  throw new Error(
    `The daemons did not become ready in time; exited: ${processes.lost().join(', ')}`,
  );
};

const chatBody = {
  model: 'planner-lm',
  messages: [{ role: 'user', content: 'Which bay is free for the next crew?' }],
  max_tokens: 24,
};

const sendPrompt = async (address: string): Promise<string> => {
  const response = await request(`http://${address}${chatCompletionsPath}`, {
    method: 'POST',
    headers: { authorization: `Bearer ${callerKey}`, 'content-type': 'application/json' },
    body: JSON.stringify(chatBody),
  });
  const text = await response.body.text();
  if (response.statusCode !== 200)
    throw new Error(`The prompt request failed with status ${response.statusCode}: ${text}`);
  return (JSON.parse(text) as { choices: [{ message: { content: string } }] }).choices[0].message
    .content;
};

const sendWeightOrder = async (engine: string, order: string): Promise<void> => {
  const response = await request(`${engine}${ordersPath}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ order, fencing: 1, action: 'loadWeights', target: 2 }),
  });
  await response.body.dump();
};

const swapEngineWeights = async (addresses: StandInAddresses): Promise<void> => {
  await delay(swapDelayMilliseconds);
  await Promise.all(addresses.engines.map((engine, index) => sendWeightOrder(engine, `o${index}`)));
};

const runLot = async (entry: string, addresses: StandInAddresses): Promise<void> => {
  const trainer = startTrainer({ entries: [`http://${entry}`], key: trainerKey });
  const lot = await trainer.openLot({
    service: 'planner-lm',
    model: 'planner-lm',
    step: 1,
    groups: Array.from({ length: 6 }, (_, index) => ({
      prompt: `Stack containers, plan ${index}`,
    })),
    groupSize: 4,
    stalenessBound: 1,
    remaining: 60_000,
    trainerVersion: 1,
    maxTokens: 40,
  });
  if (lot.isErr()) throw new Error(lot.error.message);
  const [samples] = await Promise.all([
    trainer.whenComplete(lot.value),
    swapEngineWeights(addresses),
  ]);
  await trainer.dispose();
  if (samples.isErr()) throw new Error(samples.error.message);
  const mixedCount = samples.value.filter((sample) => sample.spans.length > 1).length;
  print(
    `lot: ${samples.value.length} samples delivered, ${mixedCount} of them with several weight versions`,
  );
  const sample = samples.value.find(({ spans }) => spans.length > 1) ?? samples.value[0]!;
  const spans = sample.spans.map(({ weightVersion, tokens }) => `v${weightVersion}×${tokens}`);
  print(`lot: version spans of ${sample.sample}: ${spans.join(', ')}`);
};

const printTimeline = (folder: string): void => {
  const events = readMergedTimeline(folder).unwrapOr([]);
  const processes = new Set(events.map((event) => event.process));
  print(`timeline: ${events.length} events of ${processes.size} processes; the latest:`);
  events.slice(-printedEventCount).forEach((event) => print(`  ${formatEvent(event)}`));
};

const waitForInterrupt = (demo: DemoDeployment): Promise<void> =>
  new Promise((resolve) => {
    print(`entries: ${demo.callerAddresses.join(' ')}`);
    print(`events:  ${demo.eventFolder}`);
    print(
      `curl -s http://${demo.callerAddresses[0]}${chatCompletionsPath} ` +
        `-H 'authorization: Bearer ${callerKey}' -H 'content-type: application/json' ` +
        `-d '${JSON.stringify(chatBody)}'`,
    );
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });

const runDemo = async (processes: Processes, shouldKeepRunning: boolean): Promise<void> => {
  const demo = await writeDemoDeployment();
  demo.names.forEach((name) => processes.startDaemon(demo.file, name));
  const advice = await waitForDaemons(demo, processes);
  print(
    `${demo.names.length} daemons are ready; first advised daemon: ${advice.addresses[0]!.daemon}`,
  );
  const entries = demo.callerAddresses.slice(0, 2).map((address) => `http://${address}`);
  const addresses = await processes.startChild<StandInAddresses>(
    'stand-ins',
    new URL('./standInsProcess.js', import.meta.url),
    entries,
  );
  const entry = advice.addresses[0]!.address;
  print(`prompt: ${(await sendPrompt(entry)).trim()}`);
  await runLot(entry, addresses);
  if (shouldKeepRunning) await waitForInterrupt(demo);
  await processes.endAll();
  printTimeline(demo.eventFolder);
};

const processes = createProcesses();
try {
  await runDemo(processes, process.argv.includes('--keep'));
} catch (error) {
  console.error(error instanceof Error ? error.message : error);
  process.exitCode = 1;
} finally {
  await processes.endAll();
}
