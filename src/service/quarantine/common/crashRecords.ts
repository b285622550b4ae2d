/**
 * Crash records: which processes ended while they ran a request. Their sets only grow, so the
 * records of two daemons merge in any order and any number of times. A request that was answered
 * does not end every process that runs it, so its earlier process ends are excused.
 */
import {
  deadlineAfter,
  never,
  remainingUntil,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import type { Fingerprint } from './fingerprint.js';
import {
  ownCrashesId,
  type CrashHolder,
  type CrashRecordRow,
  type ProcessEnd,
} from './quarantineTables.js';

/** Time from the last recorded process end after which a request is forgotten. */
export const quarantineMilliseconds: Milliseconds = 600_000;

/** Each row costs the end of a process. With 1.5 KB for the largest rows, 3.2 MB in all. */
const maximumRecords = 2_048;

/** Process ends that a record names; more of them would change no decision. */
export const maximumEnds = 8;

/**
 * Time after which a daemon passes on what it recorded. Most requests that ran beside the cause of
 * a crash are answered by then, and need not be passed on at all.
 */
const passOnMilliseconds: Milliseconds = 500;

/** What a record is made of, besides decisions of this daemon. */
export type CrashRecord = Pick<CrashRecordRow, 'id' | 'ends' | 'excusedEnds' | 'expiryDeadline'>;

/** Returns the revision of this daemon's records. */
export const ownRevisionOf = (world: World): number =>
  world.ownCrashes.get(ownCrashesId)?.revision ?? 0;

const increaseRevision = (world: World): number => {
  const revision = ownRevisionOf(world) + 1;
  world.ownCrashes.put({ id: ownCrashesId, revision });
  return revision;
};

/** Returns the process ends of a record that count. */
export const countedEndsOf = ({ ends, excusedEnds }: CrashRecord): ProcessEnd[] =>
  ends.filter((end) => !excusedEnds.includes(end));

/** Returns the record of a request, or undefined if no process is known to have ended under it. */
export const crashRecordOf = (
  world: World,
  fingerprint: Fingerprint | null,
): CrashRecordRow | undefined =>
  fingerprint === null ? undefined : world.crashRecords.get(fingerprint);

/** Whether a request is refused because processes ended under it. */
export const isQuarantined = (world: World, fingerprint: Fingerprint | null): boolean =>
  crashRecordOf(world, fingerprint)?.isQuarantined === true;

/** Returns the time until a request is no longer refused. */
export const remainingQuarantineOf = (
  world: World,
  fingerprint: Fingerprint | null,
  now: Instant,
): Milliseconds => {
  const record = crashRecordOf(world, fingerprint);
  return record === undefined ? 0 : Math.ceil(remainingUntil(record.expiryDeadline, now));
};

/** Makes room for one more record; a quarantined request is never forgotten for another one. */
const tryMakeRoom = (world: World): boolean => {
  if (world.crashRecords.size() < maximumRecords) return true;
  world.metrics.count('quarantine.recordsDropped');
  const surplus = [...world.crashRecords.rows()].find((row) => !row.isQuarantined);
  if (surplus === undefined) return false;
  world.crashRecords.remove(surplus.id);
  return true;
};

const union = (first: readonly ProcessEnd[], second: readonly ProcessEnd[]): ProcessEnd[] =>
  [...new Set([...first, ...second])].slice(0, maximumEnds);

/** What becomes of a merged record. */
export interface MergeOptions {
  /** Time at which a change is passed on to other daemons; `never` to keep it. */
  readonly passOnDeadline: Instant;
  /** The daemon process that sent the record; null for one of this daemon. */
  readonly sender: CrashHolder | null;
}

/** Merges a record into the table; has no effect if it adds nothing. */
export const mergeCrashRecord = (
  world: World,
  record: CrashRecord,
  { passOnDeadline, sender }: MergeOptions,
): void => {
  const existing = world.crashRecords.get(record.id);
  const ends = union(existing?.ends ?? [], record.ends);
  const excusedEnds = union(existing?.excusedEnds ?? [], record.excusedEnds);
  const hasNewEnds = ends.length > (existing?.ends.length ?? 0);
  const hasChanged = hasNewEnds || excusedEnds.length > (existing?.excusedEnds.length ?? 0);
  if (!hasChanged) return;
  if (existing === undefined && (!hasNewEnds || !tryMakeRoom(world))) return;
  const isAsSent =
    ends.length === record.ends.length && excusedEnds.length === record.excusedEnds.length;
  world.crashRecords.put({
    id: record.id,
    ends,
    excusedEnds,
    isQuarantined: existing?.isQuarantined ?? false,
    // Only a new process end extends the quarantine, or daemons would extend it for each other.
    expiryDeadline: hasNewEnds
      ? Math.max(existing?.expiryDeadline ?? 0, record.expiryDeadline)
      : (existing?.expiryDeadline ?? 0),
    revision: existing?.revision ?? 0,
    passOnDeadline: Math.min(existing?.passOnDeadline ?? never, passOnDeadline),
    holder: isAsSent ? sender : null,
  });
};

/** Gives the records whose changes are due the next revision, at which they are passed on. */
export const passOnDueRecords = (world: World, now: Instant): void =>
  world.crashRecords.takeDue('passOn', now).forEach(({ id }) => {
    const revision = increaseRevision(world);
    world.crashRecords.change(id, { revision, passOnDeadline: never });
  });

/** Records that a process ended while it ran a request. */
export const recordProcessEnd = (
  world: World,
  id: Fingerprint,
  end: ProcessEnd,
  now: Instant,
): void => {
  const expiryDeadline = deadlineAfter(now, quarantineMilliseconds);
  mergeCrashRecord(
    world,
    { id, ends: [end], excusedEnds: [], expiryDeadline },
    { passOnDeadline: deadlineAfter(now, passOnMilliseconds), sender: null },
  );
};

/** Excuses the process ends under a request that an upstream has now answered. */
export const recordAnsweredRun = (
  world: World,
  fingerprint: Fingerprint | null,
  now: Instant,
): void => {
  if (fingerprint === null) return;
  world.suspicions
    .where('fingerprint', fingerprint)
    .forEach(({ id }) => world.suspicions.remove(id));
  const record = world.crashRecords.get(fingerprint);
  if (record === undefined || countedEndsOf(record).length === 0) return;
  if (record.revision === 0 && record.holder === null) world.crashRecords.remove(fingerprint);
  else
    mergeCrashRecord(
      world,
      { ...record, excusedEnds: record.ends },
      { passOnDeadline: deadlineAfter(now, passOnMilliseconds), sender: null },
    );
  world.events.append({
    kind: EventKind.CrashesExcused,
    subject: { fingerprint, ends: record.ends.join(',') },
  });
};
