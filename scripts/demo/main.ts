/**
 * The demo: seven daemons and the stand-ins as processes on loopback, one prompt request, one lot of
 * rollouts through a change of weights, and the end of the merged time line.
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

const readyMilliseconds = 10_000;
const pollMilliseconds = 50;
const swapMilliseconds = 60;
const shownEvents = 12;
const callerKey = 'demo-key-bay-plans';
const trainerKey = 'demo-key-stacking-planner';

/** Where the stand-ins listen. */
interface StandInAddresses {
  readonly engines: readonly string[];
  readonly plain: string;
}

const say = (text: string): void => console.log(text);

const askAdvice = async (address: string): Promise<Advice | undefined> => {
  try {
    const answer = await request(`http://${address}/v1/address?zone=gp-north`);
    return (await answer.body.json()) as Advice;
  } catch {
    return undefined;
  }
};

/** Whether an entry knows every daemon, and each of them serves requests with keys. */
const isWhole = (answer: Advice | undefined, demo: DemoDeployment): boolean =>
  answer?.addresses.length === demo.names.length &&
  answer.addresses.every(({ isFresh }) => isFresh);

const waitForDaemons = async (demo: DemoDeployment, processes: Processes): Promise<Advice> => {
  const deadline = performance.now() + readyMilliseconds;
  while (performance.now() < deadline) {
    if (processes.lost().length > 0) break;
    const answers = await Promise.all(demo.callerAddresses.map(askAdvice));
    const whole = answers.every((answer) => isWhole(answer, demo));
    if (whole) return answers[0]!;
    await delay(pollMilliseconds);
  }
  throw new Error(`The daemons did not find each other; ended: ${processes.lost().join(', ')}`);
};

const chatBody = {
  model: 'planner-lm',
  messages: [{ role: 'user', content: 'Which bay is free for the next crew?' }],
  max_tokens: 24,
};

const sendPrompt = async (address: string): Promise<string> => {
  const answer = await request(`http://${address}${chatCompletionsPath}`, {
    method: 'POST',
    headers: { authorization: `Bearer ${callerKey}`, 'content-type': 'application/json' },
    body: JSON.stringify(chatBody),
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) throw new Error(`status ${answer.statusCode}: ${text}`);
  return (JSON.parse(text) as { choices: [{ message: { content: string } }] }).choices[0].message
    .content;
};

const orderWeights = async (engine: string, order: string): Promise<void> => {
  const answer = await request(`${engine}${ordersPath}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ order, fencing: 1, action: 'loadWeights', target: 2 }),
  });
  await answer.body.dump();
};

const swapWeights = async (addresses: StandInAddresses): Promise<void> => {
  await delay(swapMilliseconds);
  await Promise.all(addresses.engines.map((engine, index) => orderWeights(engine, `o${index}`)));
};

const deliverLot = async (entry: string, addresses: StandInAddresses): Promise<void> => {
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
  const [samples] = await Promise.all([trainer.whenComplete(lot.value), swapWeights(addresses)]);
  await trainer.dispose();
  if (samples.isErr()) throw new Error(samples.error.message);
  const mixed = samples.value.filter((sample) => sample.spans.length > 1).length;
  say(`lot: ${samples.value.length} samples delivered, ${mixed} of them over a change of weights`);
  const sample = samples.value.find(({ spans }) => spans.length > 1) ?? samples.value[0]!;
  const spans = sample.spans.map(({ weightVersion, tokens }) => `v${weightVersion}×${tokens}`);
  say(`lot: spans of ${sample.sample}: ${spans.join(', ')}`);
};

const showTimeline = (folder: string): void => {
  const events = readMergedTimeline(folder).unwrapOr([]);
  const processes = new Set(events.map((event) => event.process));
  say(`time line: ${events.length} events of ${processes.size} processes; the last:`);
  events.slice(-shownEvents).forEach((event) => say(`  ${formatEvent(event)}`));
};

const waitForInterrupt = (demo: DemoDeployment): Promise<void> =>
  new Promise((resolve) => {
    say(`entries: ${demo.callerAddresses.join(' ')}`);
    say(`events:  ${demo.eventFolder}`);
    say(
      `curl -s http://${demo.callerAddresses[0]}${chatCompletionsPath} ` +
        `-H 'authorization: Bearer ${callerKey}' -H 'content-type: application/json' ` +
        `-d '${JSON.stringify(chatBody)}'`,
    );
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });

const runDemo = async (processes: Processes, keep: boolean): Promise<void> => {
  const demo = await writeDemoDeployment();
  demo.names.forEach((name) => processes.startDaemon(demo.file, name));
  const advice = await waitForDaemons(demo, processes);
  say(
    `${demo.names.length} daemons found each other; advice: ${advice.addresses[0]!.daemon} first`,
  );
  const entries = demo.callerAddresses.slice(0, 2).map((address) => `http://${address}`);
  const addresses = await processes.startChild<StandInAddresses>(
    'stand-ins',
    new URL('./standInsProcess.js', import.meta.url),
    entries,
  );
  const entry = advice.addresses[0]!.address;
  say(`prompt: ${(await sendPrompt(entry)).trim()}`);
  await deliverLot(entry, addresses);
  if (keep) await waitForInterrupt(demo);
  await processes.endAll();
  showTimeline(demo.eventFolder);
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
