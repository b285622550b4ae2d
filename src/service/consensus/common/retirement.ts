/**
 * Retirement of control daemons. A daemon that retires is replaced as a voter first; it may be taken away
 * once the other voters hold the whole log. Only the leader knows that.
 */
import { ok } from 'neverthrow';
import { asBrand } from '../../../base/common/brand.js';
import type { ValueOf } from '../../../base/common/handlers.js';
import { DaemonState, type DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { ApplyHandlers } from './applyHandlers.js';
import { replicaOf } from './replicaLog.js';
import type { DaemonRetired } from './voterCommands.js';

/** How far the retirement of a daemon is. */
export const RetirementState = {
  /** No control daemon has this label. */
  Unknown: 'unknown',
  /** It may be asked for. */
  Possible: 'possible',
  /** Fewer control daemons than voters would be left. */
  TooFewRemaining: 'tooFewLeft',
  /** Enough would be left, but some of them are silent. */
  OthersUnresponsive: 'othersSilent',
  Running: 'running',
  /** Nothing rests on the daemon any more. */
  Completed: 'completed',
} as const;
export type RetirementState = ValueOf<typeof RetirementState>;

/** What is known of the retirement of the daemon with a label. */
export interface Retirement {
  readonly daemon: DaemonId | null;
  readonly state: RetirementState;
}

/** Whether a daemon retires or has retired. */
export const isRetiring = (world: World, id: DaemonId): boolean => world.retirements.has(id);

/** Whether each of the other voters holds the change by which the present voters vote, and all before it. */
export const areVotersCaughtUp = (world: World): boolean => {
  const { votersIndex, commitIndex } = replicaOf(world);
  const hasAllEntries = ({
    isSelf,
    matchIndex,
  }: {
    isSelf: boolean;
    matchIndex: number;
  }): boolean => isSelf || matchIndex >= votersIndex;
  return votersIndex <= commitIndex && [...world.members.rows()].every(hasAllEntries);
};

/** The incarnation of a daemon of which only the settings tell. */
const unseenIncarnation = 0;

/** Control daemons that have been heard from and stay. */
const remainingControlDaemons = (world: World, excluded: DaemonRow): DaemonRow[] =>
  [...world.daemons.rows()].filter(
    ({ id, isControl, incarnation }) =>
      isControl && incarnation > unseenIncarnation && id !== excluded.id && !isRetiring(world, id),
  );

const computeEligibility = (world: World, daemon: DaemonRow): RetirementState => {
  const { voterCount } = world.fleet;
  const others = remainingControlDaemons(world, daemon);
  if (others.length < voterCount) return RetirementState.TooFewRemaining;
  const alive = others.filter(({ state }) => state === DaemonState.Alive);
  return alive.length < voterCount ? RetirementState.OthersUnresponsive : RetirementState.Possible;
};

const computeProgress = (world: World, daemon: DaemonId): RetirementState =>
  world.members.has(daemon) || !areVotersCaughtUp(world)
    ? RetirementState.Running
    : RetirementState.Completed;

/** How far the retirement of the daemon with a label is; true only at the leader. */
export const findRetirement = (world: World, label: string): Retirement => {
  const existing = [...world.retirements.rows()].find((row) => row.label === label);
  if (existing !== undefined)
    return { daemon: existing.id, state: computeProgress(world, existing.id) };
  const daemon = [...world.daemons.rows()].find((row) => row.isControl && row.label === label);
  return daemon === undefined
    ? { daemon: null, state: RetirementState.Unknown }
    : { daemon: daemon.id, state: computeEligibility(world, daemon) };
};

export const retirementApplyHandlers: ApplyHandlers<DaemonRetired> = {
  daemonRetired: ({ daemon, label }, world) => {
    world.retirements.put({ id: asBrand<DaemonId>(daemon), label });
    return ok(undefined);
  },
};
