/**
 * Crash records: which processes ended while they ran a request. Their sets only grow, so the
 * records of two daemons merge in any order and any number of times. A request that was answered
 * does not end every process that runs it, so its earlier process ends are excused.
 */
import {
  deadlineAfter,
  remainingUntil,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import type { Fingerprint } from './fingerprint.js';
import { ownCrashesId, type CrashRecordRow, type ProcessEnd } from './quarantineTables.js';

/** Time from the last recorded process end after which a request is forgotten. */
export const quarantineMilliseconds: Milliseconds = 600_000;

/** Each row costs the end of a process. With 1.5 KB for the largest rows, 3.2 MB in all. */
const maximumRecords = 2_048;

/** Process ends that a record names; more of them would change no decision. */
export const maximumEnds = 8;

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

/**
 * Merges a record into the table; returns whether it added anything. `isPassedOn` says whether this
 * daemon sends the result to others.
 */
export const mergeCrashRecord = (
  world: World,
  record: CrashRecord,
  isPassedOn: boolean,
): boolean => {
  const existing = world.crashRecords.get(record.id);
  const ends = union(existing?.ends ?? [], record.ends);
  const excusedEnds = union(existing?.excusedEnds ?? [], record.excusedEnds);
  const hasNewEnds = ends.length > (existing?.ends.length ?? 0);
  const hasChanged = hasNewEnds || excusedEnds.length > (existing?.excusedEnds.length ?? 0);
  if (!hasChanged) return false;
  if (existing === undefined && (!hasNewEnds || !tryMakeRoom(world))) return false;
  world.crashRecords.put({
    id: record.id,
    ends,
    excusedEnds,
    isQuarantined: existing?.isQuarantined ?? false,
    // Only a new process end extends the quarantine, or daemons would extend it for each other.
    expiryDeadline: hasNewEnds
      ? Math.max(existing?.expiryDeadline ?? 0, record.expiryDeadline)
      : (existing?.expiryDeadline ?? 0),
    revision: isPassedOn ? increaseRevision(world) : (existing?.revision ?? 0),
  });
  return true;
};

/** Records that a process ended while it ran a request. */
export const recordProcessEnd = (
  world: World,
  id: Fingerprint,
  end: ProcessEnd,
  now: Instant,
): void => {
  const expiryDeadline = deadlineAfter(now, quarantineMilliseconds);
  mergeCrashRecord(world, { id, ends: [end], excusedEnds: [], expiryDeadline }, true);
};

/** Excuses the process ends under a request that an upstream has now answered. */
export const recordAnsweredRun = (world: World, fingerprint: Fingerprint | null): void => {
  if (fingerprint === null) return;
  world.suspicions
    .where('fingerprint', fingerprint)
    .forEach(({ id }) => world.suspicions.remove(id));
  const record = world.crashRecords.get(fingerprint);
  if (record === undefined || countedEndsOf(record).length === 0) return;
  mergeCrashRecord(world, { ...record, excusedEnds: record.ends }, true);
  world.events.append({
    kind: EventKind.CrashesExcused,
    subject: { fingerprint, ends: record.ends.join(',') },
  });
};
