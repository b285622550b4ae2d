/**
 * Replicates each body to two daemons with disks, in different availability zones if possible. A
 * copy counts only after its daemon has reported that it is synced.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import { Role } from '../../../infrastructure/settings/common/deployment.js';
import { DaemonState } from '../../membership/common/membershipTables.js';
import type { BodyCopyId, BodyId, DaemonId, LotId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { CopyState, type BodyCopyRow } from './bodyRows.js';

const copiesPerBody = 2;
const copyTimeoutMilliseconds = 3_000;

const daemonsWithDisk = (world: World) =>
  world.deployment.daemons.filter((daemon) => daemon.roles.includes(Role.Control));

/** Returns 2, or 1 if the deployment has only one daemon with a disk. */
const requiredCopyCount = (world: World): number =>
  Math.min(copiesPerBody, daemonsWithDisk(world).length);

const copyIdOf = (body: BodyId, daemon: DaemonId): BodyCopyId => asBrand(`${body}@${daemon}`);

const isUsable = (world: World, name: string): boolean => {
  if (name === world.self.name) return true;
  return world.daemons.get(asBrand<DaemonId>(name))?.state === DaemonState.Alive;
};

/**
 * Returns the available daemons with disks by preference: this daemon, other zones, its own zone.
 */
const rankCandidates = (world: World): DaemonId[] => {
  const rank = (daemon: { readonly name: string; readonly zone: string }): number => {
    if (daemon.name === world.self.name) return 0;
    return daemon.zone === world.self.zone ? 2 : 1;
  };
  const offset = world.random.nextInteger(daemonsWithDisk(world).length);
  const daemons = daemonsWithDisk(world);
  const rotated = [...daemons.slice(offset), ...daemons.slice(0, offset)];
  return rotated
    .filter((daemon) => isUsable(world, daemon.name))
    .sort((first, second) => rank(first) - rank(second))
    .map((daemon) => asBrand(daemon.name));
};

const putCopy = (world: World, body: BodyId, lot: LotId, daemon: DaemonId, now: Instant): void => {
  world.bodyCopies.put({
    id: copyIdOf(body, daemon),
    body,
    lot,
    daemon,
    state: CopyState.Requested,
    copyDeadline: deadlineAfter(now, copyTimeoutMilliseconds),
  });
  world.bodySends.append({ body, lot, to: daemon });
};

const countViableCopies = (world: World, body: BodyId): number =>
  world.bodyCopies.count('bodyState', `${body}/${CopyState.Requested}`) +
  world.bodyCopies.count('bodyState', `${body}/${CopyState.Stored}`);

/** Requests the missing copies from daemons that have not been tried for this body. */
export const requestCopies = (world: World, body: BodyId, lot: LotId, now: Instant): void => {
  const missing = requiredCopyCount(world) - countViableCopies(world, body);
  rankCandidates(world)
    .filter((daemon) => !world.bodyCopies.has(copyIdOf(body, daemon)))
    .slice(0, Math.max(0, missing))
    .forEach((daemon) => putCopy(world, body, lot, daemon, now));
};

const storedStateKey = (body: BodyId): string => `${body}/${CopyState.Stored}`;

/** Whether the required number of daemons has the body on disk. */
export const hasRequiredCopies = (world: World, body: BodyId): boolean =>
  world.bodyCopies.count('bodyState', storedStateKey(body)) >= requiredCopyCount(world);

/** Returns the daemons that have reported the body as synced to disk. */
export const replicaHoldersOf = (world: World, body: BodyId): readonly DaemonId[] =>
  world.bodyCopies.where('bodyState', storedStateKey(body)).map((copy) => copy.daemon);

/**
 * Removes the copy rows of a body, once the ledger records its holders or the body is not needed.
 */
export const removeCopies = (world: World, body: BodyId): void =>
  world.bodyCopies.where('body', body).forEach((copy) => world.bodyCopies.remove(copy.id));

/** Records a daemon's report on its copy, and requests a replacement if the write failed. */
export const recordCopyResult = (
  world: World,
  body: BodyId,
  daemon: DaemonId,
  isWritten: boolean,
  now: Instant,
): void => {
  const copy = world.bodyCopies.get(copyIdOf(body, daemon));
  if (copy === undefined || copy.state === CopyState.Stored) return;
  const copyDeadline = deadlineAfter(now, copyTimeoutMilliseconds);
  const state = isWritten ? CopyState.Stored : CopyState.Failed;
  world.bodyCopies.change(copy.id, { state, copyDeadline });
  if (!isWritten) requestCopies(world, body, copy.lot, now);
};

const abandonCopy = (world: World, copy: BodyCopyRow): void => {
  world.bodyCopies.change(copy.id, { state: CopyState.Failed, copyDeadline: never });
};

type CopyHandler = (world: World, copy: BodyCopyRow, now: Instant) => void;

const replaceCopy: CopyHandler = (world, copy, now) => {
  abandonCopy(world, copy);
  requestCopies(world, copy.body, copy.lot, now);
  const isMissing = countViableCopies(world, copy.body) < requiredCopyCount(world);
  if (isMissing) putCopy(world, copy.body, copy.lot, copy.daemon, now);
};

/** Handlers of a due copy whose body does not have the required copies yet, by copy state. */
const copyHandlers: Readonly<Record<CopyState, CopyHandler>> = {
  wanted: (world, copy, now) => {
    if (isUsable(world, copy.daemon)) putCopy(world, copy.body, copy.lot, copy.daemon, now);
    else replaceCopy(world, copy, now);
  },
  stored: (world, copy, now) => {
    requestCopies(world, copy.body, copy.lot, now);
    world.bodyCopies.change(copy.id, { copyDeadline: deadlineAfter(now, copyTimeoutMilliseconds) });
  },
  failed: replaceCopy,
};

/**
 * Resends a due copy, or requests it from another daemon if this one is unavailable or cannot
 * write.
 */
export const maintainCopy: CopyHandler = (world, copy, now) => {
  if (hasRequiredCopies(world, copy.body))
    world.bodyCopies.change(copy.id, { copyDeadline: never });
  else copyHandlers[copy.state](world, copy, now);
};
