/**
 * Completes the answers of job reads with contents that holders have: the daemon that received the
 * read asks them, one after the other, until it has all that the answer of the leader names.
 */
import { asBrand } from '../../../base/common/brand.js';
import {
  deadlineAfter,
  never,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { distanceTo } from '../../membership/common/contacts.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { Content, ContentMessage } from './contentMessages.js';
import type { ContentReadRow, HeldBytes } from './contentTables.js';
import { isResponsive } from './holderChoice.js';
import { decodeText, findHeldContent } from './jobContents.js';
import type { FinalAnswer, JobAnswer } from './jobReadMessages.js';
import type { JobReadId } from './jobReads.js';

/** Time in which a holder gives contents; then the next one is asked. */
const askMilliseconds: Milliseconds = 400;

type Results = Extract<JobAnswer, { kind: 'results' }>;

const digestsOf = ({ results }: Results): string[] =>
  results.flatMap(({ heldText }) => (heldText === undefined ? [] : [heldText.digest]));

const completeResults = (answer: Results, contents: HeldBytes): FinalAnswer => ({
  kind: 'results',
  total: answer.total,
  results: answer.results.map(({ heldText, ...result }) =>
    heldText === undefined
      ? result
      : { ...result, text: decodeText(contents.get(heldText.digest)!) },
  ),
});

/** Returns the holders in the order in which they are asked: those that run, then the nearest. */
const rankHolders = (world: World, names: readonly string[]): DaemonId[] => {
  const rankOf = (row: DaemonRow): number => (row.isSelf ? -1 : distanceTo(world, row));
  return names
    .map((name) => world.daemons.get(asBrand(name)))
    .filter((row) => row !== undefined)
    .sort(
      (first, second) =>
        Number(isResponsive(second)) - Number(isResponsive(first)) ||
        rankOf(first) - rankOf(second),
    )
    .map(({ id }) => id);
};

const missingDigestsOf = ({ digests, contents }: ContentReadRow): string[] =>
  digests.filter((digest) => !contents.has(digest));

const askHolder = (
  world: World,
  row: ContentReadRow,
  holder: DaemonId | undefined,
  now: Instant,
): void => {
  const askDeadline = deadlineAfter(now, askMilliseconds);
  world.contentReads.change(row.id, { askDeadline });
  if (holder === undefined) return;
  const digests = missingDigestsOf(row);
  const { job } = row;
  world.outgoingMessages.append({
    to: holder,
    message: { kind: 'jobContentsAsked', job, digests },
  });
};

const askNextHolder = (world: World, row: ContentReadRow, now: Instant): void => {
  const others = row.holders.filter((holder) => holder !== world.self.name);
  const holder = others[row.attempts % Math.max(1, others.length)];
  world.contentReads.change(row.id, { attempts: row.attempts + 1 });
  askHolder(world, row, holder, now);
};

/** Adds contents to a read; returns whether it lacks others. */
const addContents = (
  world: World,
  row: ContentReadRow,
  added: readonly Content[],
): ContentReadRow | undefined => {
  const contents = new Map(row.contents);
  added
    .filter(({ digest }) => row.digests.includes(digest))
    .forEach(({ digest, bytes }) => contents.set(digest, bytes));
  const updated = world.contentReads.change(row.id, { contents })!;
  if (missingDigestsOf(updated).length > 0) return updated;
  world.contentReads.remove(row.id);
  world.jobReads.change(row.id, { answer: row.createAnswer(contents) });
  return undefined;
};

const startRead = (
  world: World,
  id: JobReadId,
  source: Pick<ContentReadRow, 'digests' | 'createAnswer'> & {
    readonly holders: readonly string[];
  },
  now: Instant,
): void => {
  const read = world.jobReads.get(id);
  if (read === undefined || read.answer !== null || world.contentReads.has(id)) return;
  // The leader has answered; the holders are asked from here on.
  world.jobReads.change(id, { sendDeadline: never });
  const row = world.contentReads.put({
    id,
    job: read.job,
    ...source,
    contents: new Map(),
    holders: rankHolders(world, source.holders),
    attempts: 0,
    askDeadline: now,
  });
  const local = row.digests.flatMap((digest) => {
    const bytes = findHeldContent(world, read.job, digest);
    return bytes === undefined ? [] : [{ digest, bytes }];
  });
  const incomplete = addContents(world, row, local);
  if (incomplete !== undefined) askNextHolder(world, incomplete, now);
};

/** Sets the answer of the leader, once the contents that it names are here. */
export const settleRead = (world: World, id: JobReadId, answer: JobAnswer, now: Instant): void => {
  if (answer.kind === 'heldBody') {
    const { digest, holders } = answer;
    const createAnswer: ContentReadRow['createAnswer'] = (contents) => ({
      kind: 'body',
      body: contents.get(digest)!,
    });
    startRead(world, id, { digests: [digest], holders, createAnswer }, now);
    return;
  }
  const digests = answer.kind === 'results' ? digestsOf(answer) : [];
  if (answer.kind !== 'results' || digests.length === 0) {
    world.jobReads.change(id, { answer });
    return;
  }
  const createAnswer: ContentReadRow['createAnswer'] = (contents) =>
    completeResults(answer, contents);
  startRead(world, id, { digests, holders: answer.holders ?? [], createAnswer }, now);
};

type Given = Extract<ContentMessage, { kind: 'jobContentsGiven' }>;

/** Takes contents for reads. A holder that gave some is asked for the rest, or else the next one. */
export const handleReadContents = (
  world: World,
  from: DaemonId,
  { job, contents, missing }: Given,
  now: Instant,
): void =>
  world.contentReads.where('job', job).forEach((row) => {
    const isNamed = (digest: string): boolean => row.digests.includes(digest);
    // Other reads of the job asked for other contents.
    if (!contents.some(({ digest }) => isNamed(digest)) && !missing.some(isNamed)) return;
    const incomplete = addContents(world, row, contents);
    if (incomplete === undefined) return;
    const remaining = missingDigestsOf(incomplete);
    if (remaining.some((digest) => !missing.includes(digest)) && contents.length > 0)
      askHolder(world, incomplete, from, now);
    else if (incomplete.attempts < incomplete.holders.length) askNextHolder(world, incomplete, now);
  });

/** Creates the system that asks the next holders. */
export const createContentReadSystem = (world: World): System => ({
  name: 'contentRead',
  run: (now) =>
    world.contentReads.takeDue('ask', now).forEach((row) => {
      // The read has expired, or its caller has gone.
      if (world.jobReads.get(row.id)?.answer === null) askNextHolder(world, row, now);
      else world.contentReads.remove(row.id);
    }),
});
