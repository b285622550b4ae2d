/**
 * Puts bodies on two daemons with disks, in different availability zones where there are such. A copy
 * counts when its daemon says that it is synced.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import { Role } from '../../../infrastructure/settings/common/deployment.js';
import { DaemonState } from '../../membership/common/membershipTables.js';
import type { BodyCopyId, BodyId, DaemonId, LotId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { CopyState, type BodyCopyRow } from './bodyRows.js';

const copiesOfABody = 2;
const copyMilliseconds = 3_000;

const diskDaemons = (world: World) =>
  world.deployment.daemons.filter((daemon) => daemon.roles.includes(Role.Control));

/** Two, or one where the deployment has one daemon with a disk. */
const wantedCopies = (world: World): number => Math.min(copiesOfABody, diskDaemons(world).length);

const copyIdOf = (body: BodyId, daemon: DaemonId): BodyCopyId => asBrand(`${body}@${daemon}`);

const isUsable = (world: World, name: string): boolean => {
  if (name === world.self.name) return true;
  return world.daemons.get(asBrand<DaemonId>(name))?.state === DaemonState.Alive;
};

/** Daemons with disks in the order of preference: this one, other zones, its own zone. */
const candidates = (world: World): DaemonId[] => {
  const rank = (daemon: { readonly name: string; readonly zone: string }): number => {
    if (daemon.name === world.self.name) return 0;
    return daemon.zone === world.self.zone ? 2 : 1;
  };
  const offset = world.random.nextInteger(diskDaemons(world).length);
  const daemons = diskDaemons(world);
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
    state: CopyState.Wanted,
    copyDeadline: deadlineAfter(now, copyMilliseconds),
  });
  world.bodySends.append({ body, lot, to: daemon });
};

const hopefulCopies = (world: World, body: BodyId): number =>
  world.bodyCopies.count('bodyState', `${body}/${CopyState.Wanted}`) +
  world.bodyCopies.count('bodyState', `${body}/${CopyState.Stored}`);

/** Asks for as many copies as are missing, on daemons that have not been asked. */
export const wantCopies = (world: World, body: BodyId, lot: LotId, now: Instant): void => {
  const missing = wantedCopies(world) - hopefulCopies(world, body);
  candidates(world)
    .filter((daemon) => !world.bodyCopies.has(copyIdOf(body, daemon)))
    .slice(0, Math.max(0, missing))
    .forEach((daemon) => putCopy(world, body, lot, daemon, now));
};

const storedKey = (body: BodyId): string => `${body}/${CopyState.Stored}`;

/** Whether enough disks have the body. */
export const isStored = (world: World, body: BodyId): boolean =>
  world.bodyCopies.count('bodyState', storedKey(body)) >= wantedCopies(world);

/** The daemons that have the body on disk. */
export const holdersOf = (world: World, body: BodyId): readonly DaemonId[] =>
  world.bodyCopies.where('bodyState', storedKey(body)).map((copy) => copy.daemon);

/** Forgets who has a body, once the ledger knows or nobody wants it. */
export const forgetCopies = (world: World, body: BodyId): void =>
  world.bodyCopies.where('body', body).forEach((copy) => world.bodyCopies.remove(copy.id));

/** Takes what a daemon says of a copy. */
export const settleCopy = (
  world: World,
  body: BodyId,
  daemon: DaemonId,
  stored: boolean,
  now: Instant,
): void => {
  const copy = world.bodyCopies.get(copyIdOf(body, daemon));
  if (copy === undefined || copy.state === CopyState.Stored) return;
  const copyDeadline = deadlineAfter(now, copyMilliseconds);
  const state = stored ? CopyState.Stored : CopyState.Failed;
  world.bodyCopies.change(copy.id, { state, copyDeadline });
  if (!stored) wantCopies(world, body, copy.lot, now);
};

const giveUpCopy = (world: World, copy: BodyCopyRow): void => {
  world.bodyCopies.change(copy.id, { state: CopyState.Failed, copyDeadline: never });
};

type TendCopy = (world: World, copy: BodyCopyRow, now: Instant) => void;

const tendLost: TendCopy = (world, copy, now) => {
  giveUpCopy(world, copy);
  wantCopies(world, copy.body, copy.lot, now);
  const isMissing = hopefulCopies(world, copy.body) < wantedCopies(world);
  if (isMissing) putCopy(world, copy.body, copy.lot, copy.daemon, now);
};

/** What is done for a copy of a body that is not on enough disks yet, by its state. */
const tendHandlers: Readonly<Record<CopyState, TendCopy>> = {
  wanted: (world, copy, now) => {
    if (isUsable(world, copy.daemon)) putCopy(world, copy.body, copy.lot, copy.daemon, now);
    else tendLost(world, copy, now);
  },
  stored: (world, copy, now) => {
    wantCopies(world, copy.body, copy.lot, now);
    world.bodyCopies.change(copy.id, { copyDeadline: deadlineAfter(now, copyMilliseconds) });
  },
  failed: tendLost,
};

/** Asks again for the copies of a body, elsewhere where a daemon is suspected or cannot write. */
export const tendCopy: TendCopy = (world, copy, now) => {
  if (isStored(world, copy.body)) world.bodyCopies.change(copy.id, { copyDeadline: never });
  else tendHandlers[copy.state](world, copy, now);
};
