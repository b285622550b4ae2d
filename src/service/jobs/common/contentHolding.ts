/**
 * Holds contents of jobs with home regions: writes what other daemons offer, gives what they ask for,
 * copies what this daemon should hold and does not, and removes the contents of jobs that are
 * forgotten or were never accepted.
 */
import { asBrand } from '../../../base/common/brand.js';
import { computeEncodedBytes } from '../../../base/common/encodedSize.js';
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import { maximumBatchBytes, takeBatch } from '../../../infrastructure/wire/common/frameLimits.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { leadershipOf } from '../../consensus/common/lease.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { Content, ContentMessage } from './contentMessages.js';
import { handleReadContents } from './contentReads.js';
import { recordStoredBatch } from './contentStoring.js';
import {
  contentIdOf,
  contentStoreId,
  type ContentFact,
  type ContentWrite,
  type LackingContentRow,
} from './contentTables.js';
import { isResponsive } from './holderChoice.js';
import { digestsOfJob, findHeldContent } from './jobContents.js';
import type { JobId, JobRow } from './jobTables.js';

/**
 * Time after which contents are removed unless this daemon is a holder of their job. A submission
 * proposes its job within seconds after its contents were stored.
 */
const orphanMilliseconds: Milliseconds = 60_000;

/** Interval at which contents are reconsidered while this daemon does not know all entries. */
const staleCheckMilliseconds: Milliseconds = 1_000;

/** Time in which a holder gives contents; then the next one is asked. */
const askMilliseconds: Milliseconds = 400;

/** Interval of requests once all holders were asked in vain. */
const retryMilliseconds: Milliseconds = 2_000;

/** Maximum number of contents that one message asks for. */
const maximumAskedDigests = 1_024;

const isRecovered = (world: World): boolean => world.contentStores.has(contentStoreId);

const isHeldHere = (world: World, { holders }: Pick<JobRow, 'holders'>): boolean =>
  holders.includes(world.self.name);

const putContents = (
  world: World,
  job: JobId,
  contents: readonly Content[],
  now: Instant,
): void => {
  contents.forEach((content) => {
    const id = contentIdOf(job, content.digest);
    world.heldContents.put({ ...content, id, job });
    world.lackingContents.remove(id);
  });
  const isHolder = world.contentJobs.get(job)?.isHolder ?? false;
  const orphanDeadline = deadlineAfter(now, orphanMilliseconds);
  world.contentJobs.put({ id: job, isHolder, orphanDeadline });
};

const removeContents = (world: World, job: JobId): void => {
  world.heldContents.where('job', job).forEach(({ id }) => world.heldContents.remove(id));
  world.lackingContents.where('job', job).forEach(({ id }) => world.lackingContents.remove(id));
  world.contentJobs.remove(job);
  world.contentDeletions.append(job);
};

const reportWrite = (
  world: World,
  { offer }: ContentWrite,
  isStored: boolean,
  now: Instant,
): void => {
  if (offer === null) return;
  const { from, storing, batch } = offer;
  if (from === world.self.name) recordStoredBatch(world, storing, from, { batch, isStored }, now);
  else
    world.outgoingMessages.append({
      to: from,
      message: { kind: 'jobContentsStored', storing, batch, isStored },
    });
};

const addLacking = (world: World, job: JobId, digest: string, now: Instant): void => {
  const id = contentIdOf(job, digest);
  if (world.heldContents.has(id) || world.lackingContents.has(id)) return;
  world.lackingContents.put({ id, job, digest, attempts: 0, askDeadline: now });
};

/** Compares what this daemon holds of a job with what the log says that it should. */
const checkJob = (world: World, id: JobId, now: Instant): void => {
  const job = world.jobs.get(id);
  const wasHolder = world.contentJobs.get(id)?.isHolder ?? false;
  if (job === undefined) {
    if (wasHolder) removeContents(world, id);
    return;
  }
  const isHolder = isHeldHere(world, job);
  if (isHolder === wasHolder) return;
  const orphanDeadline = deadlineAfter(now, orphanMilliseconds);
  world.contentJobs.put({ id, isHolder, orphanDeadline });
  if (isHolder) digestsOfJob(world, id).forEach((digest) => addLacking(world, id, digest, now));
  else
    world.lackingContents.where('job', id).forEach((row) => world.lackingContents.remove(row.id));
};

const checkOrphans = (world: World, job: JobId, now: Instant): void => {
  // A daemon that lacks entries may not know the job yet.
  if (now >= leadershipOf(world).freshnessDeadline) {
    const orphanDeadline = deadlineAfter(now, staleCheckMilliseconds);
    world.contentJobs.change(job, { orphanDeadline });
    return;
  }
  world.metrics.count('contents.orphansRemoved');
  removeContents(world, job);
};

/** Returns the daemons that may hold contents of a job, those that run first. */
const sourcesOf = (world: World, job: JobId): DaemonId[] => {
  const row = world.jobs.get(job);
  const names = [...(row?.holders ?? []), ...(row?.formerHolders ?? [])];
  const rows = names
    .filter((name) => name !== world.self.name)
    .map((name) => world.daemons.get(asBrand(name)))
    .filter((daemon) => daemon !== undefined);
  const responsive = rows.filter(isResponsive);
  return (responsive.length > 0 ? responsive : rows).map(({ id }) => id);
};

/** Asks the next source for the lacking contents of a job. */
const askForLacking = (
  world: World,
  job: JobId,
  rows: readonly LackingContentRow[],
  now: Instant,
): void => {
  const sources = sourcesOf(world, job);
  const asked = rows.slice(0, maximumAskedDigests);
  const { attempts } = asked[0]!;
  const source = sources[attempts % Math.max(1, sources.length)];
  const isRepeated = attempts >= sources.length;
  const askDeadline = deadlineAfter(now, isRepeated ? retryMilliseconds : askMilliseconds);
  rows.forEach(({ id }) => {
    world.lackingContents.change(id, { attempts: attempts + 1, askDeadline });
  });
  if (source === undefined) return;
  const digests = asked.map(({ digest }) => digest);
  world.outgoingMessages.append({
    to: source,
    message: { kind: 'jobContentsAsked', job, digests },
  });
};

const askForDue = (world: World, now: Instant): void => {
  const due = world.lackingContents.takeDue('ask', now);
  new Set(due.map(({ job }) => job)).forEach((job) =>
    askForLacking(
      world,
      job,
      due.filter((row) => row.job === job),
      now,
    ),
  );
};

type Given = Extract<ContentMessage, { kind: 'jobContentsGiven' }>;

/** Writes the lacking contents that have arrived, and asks the same source for the others at once. */
const takeLacking = (world: World, { job: name, contents, missing }: Given, now: Instant): void => {
  const job = asBrand<JobId>(name);
  const arrived = contents.filter(({ digest }) =>
    world.lackingContents.has(contentIdOf(job, digest)),
  );
  if (arrived.length === 0) return;
  world.contentWrites.append({ job, contents: arrived, offer: null });
  const arrivedDigests = new Set(arrived.map(({ digest }) => digest));
  world.lackingContents.where('job', job).forEach(({ id, digest, attempts }) => {
    if (arrivedDigests.has(digest))
      world.lackingContents.change(id, { askDeadline: deadlineAfter(now, retryMilliseconds) });
    else if (!missing.includes(digest))
      world.lackingContents.change(id, { attempts: Math.max(0, attempts - 1), askDeadline: now });
  });
};

const giveContents = (
  world: World,
  to: DaemonId,
  job: string,
  digests: readonly string[],
): void => {
  const found = digests.flatMap((digest) => {
    const bytes = findHeldContent(world, job, digest);
    return bytes === undefined ? [] : [{ digest, bytes }];
  });
  const { rows: contents } = takeBatch(found, computeEncodedBytes, {
    maximumRows: Number.POSITIVE_INFINITY,
    maximumBytes: maximumBatchBytes,
  });
  const missing = digests.filter((digest) => findHeldContent(world, job, digest) === undefined);
  world.outgoingMessages.append({
    to,
    message: { kind: 'jobContentsGiven', job, contents, missing },
  });
};

/** Handlers of the messages about contents, by `kind`. */
export const contentHandlers: HandlerTable<ContentMessage, void, [World, DaemonRow, Instant]> = {
  jobContentsOffered: ({ job, contents, storing, batch }, world, { id: from }, now) => {
    // The contents must not be removed as orphans while they are written.
    const orphanDeadline = deadlineAfter(now, orphanMilliseconds);
    world.contentJobs.change(asBrand<JobId>(job), { orphanDeadline });
    world.contentWrites.append({
      job: asBrand(job),
      contents,
      offer: { from, storing: asBrand(storing), batch },
    });
  },
  jobContentsStored: ({ storing, batch, isStored }, world, { id: from }, now) =>
    recordStoredBatch(world, asBrand(storing), from, { batch, isStored }, now),
  jobContentsAsked: ({ job, digests }, world, { id: from }) => {
    if (isRecovered(world)) giveContents(world, from, job, digests);
  },
  jobContentsGiven: (message, world, { id: from }, now) => {
    takeLacking(world, message, now);
    handleReadContents(world, from, message, now);
  },
};

const factHandlers: HandlerTable<ContentFact, void, [World, Instant]> = {
  recovered: ({ contents }, world, now) => {
    contents.forEach(({ job, ...content }) => putContents(world, job, [content], now));
    world.contentStores.put({ id: contentStoreId });
    [...world.jobs.rows()].forEach(({ id }) => checkJob(world, id, now));
  },
  written: ({ write, isStored }, world, now) => {
    if (isStored) putContents(world, write.job, write.contents, now);
    reportWrite(world, write, isStored, now);
  },
};

/** Creates the system that holds contents. */
export const createContentHoldingSystem = (world: World): System => {
  const jobChanges = world.jobs.createChangeReader();
  const resultChanges = world.jobResults.createChangeReader();
  return {
    name: 'contentHolding',
    run: (now) => {
      world.contentFacts
        .takeAll()
        .forEach((fact) => dispatchByKind(factHandlers, fact, world, now));
      const changedJobs = jobChanges.take();
      const changedResults = resultChanges.take();
      if (!isRecovered(world)) return;
      changedJobs.forEach((id) => checkJob(world, id, now));
      changedResults.forEach((id) => {
        const row = world.jobResults.get(id);
        const isHolder = row !== undefined && world.contentJobs.get(row.job)?.isHolder === true;
        if (isHolder && row.heldText !== undefined)
          addLacking(world, row.job, row.heldText.digest, now);
      });
      world.contentJobs.takeDue('orphan', now).forEach(({ id }) => checkOrphans(world, id, now));
      askForDue(world, now);
    },
  };
};
