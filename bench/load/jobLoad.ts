/**
 * Replays the steps of several trainers against the decisions of a leader, on virtual time: engines
 * with a few slots each write one event after the other, and more items wait than there are slots. No
 * network, no disk; the processor time is that of the decisions.
 */
import { createRandom } from '../../src/base/common/random.js';
import type { Milliseconds } from '../../src/base/common/time.js';
import type { JobItem } from '../../src/service/jobs/common/jobCommands.js';
import { RunState, type RunRow } from '../../src/service/jobs/common/jobTables.js';
import { createFleetCore } from '../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
  testItem,
  testJob,
} from '../../standins/virtual/fleetFixture.js';

/** The steps of one trainer. */
interface Trainer {
  readonly groups: number;
  readonly itemsOfGroup: number;
  /** Mean number of events of a text. */
  readonly events: number;
}

export interface LoadOptions {
  readonly engines: number;
  readonly slots: number;
  readonly seed: number;
}

export interface LoadResult {
  /** Time from each submission to the last result, in the order of submission. */
  readonly stepMilliseconds: readonly Milliseconds[];
  readonly items: number;
  /** Processor time of the process per second of virtual time. */
  readonly processorMillisecondsPerSecond: number;
}

/** Shapes of the sheet of the users' heaviest deployment. */
const trainers: readonly Trainer[] = [
  { groups: 9, itemsOfGroup: 8, events: 10 },
  { groups: 5, itemsOfGroup: 16, events: 19 },
  { groups: 9, itemsOfGroup: 8, events: 21 },
  { groups: 4, itemsOfGroup: 16, events: 16 },
];

const submissionInterval: Milliseconds = 4_000;
const submissions = 3;
const eventInterval: Milliseconds = 100;
const settleInterval: Milliseconds = 50;
const limit: Milliseconds = 60_000;
/** Upstreams of another service, which run no items. */
const plainUpstreams = 6;
/** Texts are up to this many times as long as their mean. */
const longestFactor = 3;
const microsecondsPerMillisecond = 1_000;
const tokensOfEvent = 20;

/** A text that an engine writes. */
interface Writing {
  readonly start: number;
  left: number;
  nextAt: number;
}

/** Replays three steps of each trainer, submitted in time whether the earlier ones are done or not. */
export const replayJobLoad = ({ engines, slots, seed }: LoadOptions): LoadResult => {
  const random = createRandom(seed);
  const core = createFleetCore();
  const { world } = core;
  core.propose('declare', testDeclarationCommand());
  const report = (sequence: number): void =>
    Array.from({ length: engines + plainUpstreams }).forEach((_, number) => {
      const service = number < engines ? 'planner' : 'yard-app';
      const registration = testEngine(`e${number + 1}`, { service, slots, sequence });
      world.arrivedRegistrations.append({ registration, isDirect: true });
    });
  const lengths = new Map<string, number>();
  const writings = new Map<string, Writing>();

  const createItems = (job: string, { groups, itemsOfGroup, events }: Trainer): JobItem[] =>
    Array.from({ length: groups * itemsOfGroup }, (_, number) => {
      const item = `${job}-${number}`;
      const length = Math.ceil((events * (1 + random.nextInteger(longestFactor * 10))) / 16) + 1;
      lengths.set(item, length);
      const group = `g${Math.floor(number / itemsOfGroup)}`;
      return {
        ...testItem(item, group),
        tokens: length * tokensOfEvent * 2,
        expectedTokens: length * tokensOfEvent,
      };
    });

  const submittedAt = new Map<string, number>();
  const submit = (round: number): void =>
    trainers.forEach((trainer, number) => {
      const job = `j${round}-${number}`;
      submittedAt.set(job, core.now());
      const items = createItems(job, trainer);
      const columns = { groupCount: trainer.groups, submittedAt: core.now() };
      core.propose(`submit-${job}`, testJob(job, items, columns));
    });

  const write = (run: RunRow): void => {
    const { id, start } = run;
    const item = world.jobItems.get(id)!;
    const known = writings.get(id);
    if (known?.start !== start) {
      const left = lengths.get(item.item)! - run.events;
      writings.set(id, { start, left, nextAt: core.now() + eventInterval });
      return;
    }
    if (known.nextAt > core.now()) return;
    known.nextAt += eventInterval;
    known.left -= 1;
    const text = [`data: ${id} ${known.left}`];
    const kind = known.left > 0 ? 'progress' : 'whole';
    world.runFacts.append({ kind, item: id, start, text, versions: [1] });
  };

  report(1);
  core.settle();
  const finishedAt = new Map<string, number>();
  const begunAt = core.now();
  const usageBefore = process.cpuUsage();
  let round = 0;
  for (let sequence = 2; core.now() < begunAt + limit; sequence += 1) {
    if (round < submissions && core.now() >= begunAt + round * submissionInterval) {
      submit(round);
      round += 1;
    }
    if (sequence % 20 === 0) report(sequence);
    world.runs.where('state', RunState.Running).forEach(write);
    core.runFor(settleInterval);
    [...submittedAt.keys()]
      .filter((job) => !finishedAt.has(job) && world.jobItems.count('unlisted', job) === 0)
      .forEach((job) => finishedAt.set(job, core.now()));
    if (round === submissions && finishedAt.size === submittedAt.size) break;
  }
  const { user, system } = process.cpuUsage(usageBefore);
  const virtualSeconds = (core.now() - begunAt) / 1_000;
  return {
    stepMilliseconds: [...submittedAt].map(
      ([job, at]) => (finishedAt.get(job) ?? Number.POSITIVE_INFINITY) - at,
    ),
    items: lengths.size,
    processorMillisecondsPerSecond: (user + system) / microsecondsPerMillisecond / virtualSeconds,
  };
};
