/**
 * Stores contents of jobs with home regions at holders, in batches of limited size. A submission is
 * stored once enough holders have synced everything, and a holder that does not answer in time is
 * replaced. The texts of results go to the holders of their job; the results are proposed once every
 * holder that runs has synced them.
 */
import { asBrand } from '../../../base/common/brand.js';
import {
  deadlineAfter,
  never,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import {
  answerMilliseconds,
  copyIdOf,
  divideContents,
  sendBatches,
  startCopy,
} from './contentCopies.js';
import type { Content } from './contentMessages.js';
import {
  ContentCopyState,
  StoringPurpose,
  StoringState,
  type ContentCopyRow,
  type ContentStoringId,
  type ContentStoringRow,
} from './contentTables.js';
import {
  areEnoughHolders,
  chooseHolders,
  computeHolderRequirement,
  isPossibleHolder,
  isResponsive,
} from './holderChoice.js';
import type { ListedItem } from './jobCommands.js';
import { JobState, type JobId } from './jobTables.js';
import { proposeResults } from './proposeResults.js';

/** Time for which a daemon that did not store contents is avoided: about that of a restart. */
const avoidanceMilliseconds: Milliseconds = 10_000;

const copiesOf = (world: World, storing: ContentStoringId, state: ContentCopyState) =>
  world.contentCopies.where('storing', storing).filter((copy) => copy.state === state);

/** Removes a storing with its copies. */
export const removeStoring = (world: World, id: ContentStoringId): void => {
  world.contentCopies.where('storing', id).forEach((copy) => world.contentCopies.remove(copy.id));
  world.contentStorings.remove(id);
};

const isDaemonResponsive = (world: World, daemon: DaemonId): boolean => {
  const row = world.daemons.get(daemon);
  return row !== undefined && isResponsive(row);
};

const refuseSubmission = (world: World, { id, job, homes }: ContentStoringRow): void => {
  const tried = world.contentCopies
    .where('storing', id)
    .map(({ daemon, state }) => `${daemon}=${state}`);
  world.contentStorings.change(id, { state: StoringState.Refused });
  world.metrics.count('contents.jobsNotStored');
  world.events.append({
    kind: EventKind.JobNotStored,
    subject: { job, homes: homes.join(','), tried: tried.join(',') },
  });
};

type StoringHandler = (world: World, storing: ContentStoringRow, now: Instant) => void;

/**
 * Chooses holders in place of those that failed; refuses the submission if there are too few. An entry
 * does not hear from every control daemon, so what it knows of them includes who was silent lately.
 */
const advanceSubmission: StoringHandler = (world, storing, now) => {
  const stateAt = ({ id }: DaemonRow) =>
    world.contentCopies.get(copyIdOf(storing.id, id))?.state ?? null;
  const possible = [...world.daemons.rows()].filter(
    (row) => isPossibleHolder(row, storing.homes) && stateAt(row) !== ContentCopyState.Failed,
  );
  const untried = possible.filter((row) => stateAt(row) === null);
  const viable = possible.filter((row) => stateAt(row) !== null);
  const preferred = untried.filter(({ id }) => !world.silentHolders.has(id));
  const requirement = computeHolderRequirement(world.fleet, [...viable, ...preferred]);
  const choose = (candidates: readonly DaemonRow[], kept: readonly DaemonRow[]) =>
    chooseHolders(storing.job, candidates, kept, requirement.holders - kept.length);
  const first = choose(preferred, viable);
  const others = untried.filter((row) => !preferred.includes(row));
  const chosen = [...first, ...choose(others, [...viable, ...first])];
  if (!areEnoughHolders([...viable, ...chosen], requirement)) {
    refuseSubmission(world, storing);
    return;
  }
  chosen.forEach(({ id }) => startCopy(world, storing, id, now));
  const stored = copiesOf(world, storing.id, ContentCopyState.Stored);
  if (stored.length < requirement.holders) return;
  const holders = stored.map(({ daemon }) => daemon);
  world.contentStorings.change(storing.id, { state: StoringState.Stored, holders });
};

/** Copies of a text with which its result is listed although other holders are lost. */
const minimumResultCopies = 2;

/**
 * Sends texts again to the holders that have not answered, and proposes their results once every
 * holder has stored them. One that is suspected, or that cannot write, counts as lost: it copies them
 * later from the others.
 */
const advanceResults: StoringHandler = (world, storing, now) => {
  const job = world.jobs.get(storing.job);
  if (job?.state !== JobState.Open) {
    removeStoring(world, storing.id);
    return;
  }
  const holders = job.holders.map((name) => asBrand<DaemonId>(name));
  holders
    .filter((daemon) => !world.contentCopies.has(copyIdOf(storing.id, daemon)))
    .forEach((daemon) => startCopy(world, storing, daemon, now));
  const isStoredAt = (daemon: DaemonId): boolean =>
    world.contentCopies.get(copyIdOf(storing.id, daemon))?.state === ContentCopyState.Stored;
  const isLost = (daemon: DaemonId): boolean =>
    !isDaemonResponsive(world, daemon) ||
    world.contentCopies.get(copyIdOf(storing.id, daemon))?.state === ContentCopyState.Failed;
  // A listed item does not run again, so the loss of one more disk must not lose its text.
  const storedCount = holders.filter(isStoredAt).length;
  const isDone =
    storedCount >= Math.min(minimumResultCopies, holders.length) &&
    holders.every((daemon) => isStoredAt(daemon) || isLost(daemon));
  if (!isDone) return;
  proposeResults(world, job.id, storing.results, now);
  removeStoring(world, storing.id);
};

const advanceHandlers: Readonly<Record<StoringPurpose, StoringHandler>> = {
  submission: advanceSubmission,
  results: advanceResults,
};

const advance = (world: World, id: ContentStoringId, now: Instant): void => {
  const storing = world.contentStorings.get(id);
  if (storing?.state === StoringState.Storing)
    advanceHandlers[storing.purpose](world, storing, now);
};

const avoidHolder = (world: World, id: DaemonId, now: Instant): void => {
  world.silentHolders.put({ id, avoidanceDeadline: deadlineAfter(now, avoidanceMilliseconds) });
};

/** Handles the answer of a holder about one batch. */
export const recordStoredBatch = (
  world: World,
  storingId: ContentStoringId,
  from: DaemonId,
  { batch, isStored }: { readonly batch: number; readonly isStored: boolean },
  now: Instant,
): void => {
  const storing = world.contentStorings.get(storingId);
  const copy = world.contentCopies.get(copyIdOf(storingId, from));
  const isAwaited = copy?.state === ContentCopyState.Sending && !copy.storedBatches.includes(batch);
  if (storing === undefined || !isAwaited) return;
  const answerDeadline = deadlineAfter(now, answerMilliseconds);
  const storedBatches = isStored ? [...copy.storedBatches, batch] : copy.storedBatches;
  const isComplete = storedBatches.length === storing.batches.length;
  const stateWhenWritten = isComplete ? ContentCopyState.Stored : ContentCopyState.Sending;
  const updated = world.contentCopies.change(copy.id, {
    storedBatches,
    answerDeadline,
    state: isStored ? stateWhenWritten : ContentCopyState.Failed,
  })!;
  if (!isStored) avoidHolder(world, from, now);
  if (updated.state === ContentCopyState.Sending) sendBatches(world, storing, updated);
  else advance(world, storingId, now);
};

type TimeoutHandler = (world: World, copy: ContentCopyRow, now: Instant) => void;

const timeoutHandlers: Readonly<Record<StoringPurpose, TimeoutHandler>> = {
  submission: (world, copy, now) => {
    world.contentCopies.change(copy.id, {
      state: ContentCopyState.Failed,
      answerDeadline: never,
    });
    avoidHolder(world, copy.daemon, now);
    advance(world, copy.storing, now);
  },
  results: (world, copy, now) => {
    const storing = world.contentStorings.get(copy.storing)!;
    if (isDaemonResponsive(world, copy.daemon)) startCopy(world, storing, copy.daemon, now);
    else {
      const answerDeadline = deadlineAfter(now, answerMilliseconds);
      world.contentCopies.change(copy.id, { answerDeadline });
    }
    advance(world, copy.storing, now);
  },
};

const handleTimeout: TimeoutHandler = (world, copy, now) => {
  const storing = world.contentStorings.get(copy.storing);
  if (storing?.state === StoringState.Storing) timeoutHandlers[storing.purpose](world, copy, now);
  else world.contentCopies.change(copy.id, { answerDeadline: never });
};

/** The contents of a job that is submitted, and the regions that may store them. */
export interface SubmittedContents {
  readonly job: string;
  readonly homes: readonly string[];
  readonly contents: readonly Content[];
  /** Time at which the submission is refused unless enough holders have stored everything. */
  readonly refusalDeadline: Instant;
}

/** Stores the contents of a submission; the state of the row becomes stored or refused. */
export const storeSubmission = (
  world: World,
  { job, homes, contents, refusalDeadline }: SubmittedContents,
  now: Instant,
): ContentStoringId => {
  const { id } = world.contentStorings.put({
    id: world.identifiers.next<ContentStoringId>('storing'),
    job: asBrand(job),
    purpose: StoringPurpose.Submission,
    state: StoringState.Storing,
    batches: divideContents(contents),
    homes,
    results: [],
    holders: [],
    refusalDeadline,
  });
  advance(world, id, now);
  return id;
};

/** Stores the texts of results at the holders of their job, and then proposes the results. */
export const storeResults = (
  world: World,
  job: JobId,
  results: readonly ListedItem[],
  contents: readonly Content[],
  now: Instant,
): void => {
  const { id } = world.contentStorings.put({
    id: world.identifiers.next<ContentStoringId>('storing'),
    job,
    purpose: StoringPurpose.Results,
    state: StoringState.Storing,
    batches: divideContents(contents),
    homes: [],
    results,
    holders: [],
    refusalDeadline: never,
  });
  advance(world, id, now);
};

/** Creates the system that replaces silent holders and refuses late submissions. */
export const createContentStoringSystem = (world: World): System => ({
  name: 'contentStoring',
  run: (now) => {
    world.contentCopies.takeDue('answer', now).forEach((copy) => handleTimeout(world, copy, now));
    world.silentHolders
      .takeDue('avoidance', now)
      .forEach(({ id }) => world.silentHolders.remove(id));
    world.contentStorings
      .takeDue('refusal', now)
      .forEach((storing) => refuseSubmission(world, storing));
  },
});
