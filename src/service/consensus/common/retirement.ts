/**
 * Retirement of control daemons. A retiring daemon is first replaced as a voter. Its VM can be
 * removed once the other voters hold the complete log, which only the leader can determine.
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

/** State of the retirement of a daemon. */
export const RetirementState = {
  /** No control daemon has this label. */
  Unknown: 'unknown',
  /** The daemon can be retired. */
  Possible: 'possible',
  /** Fewer control daemons would remain than the required number of voters. */
  TooFewRemaining: 'tooFewLeft',
  /** Enough control daemons would remain, but too few of them are alive. */
  OthersUnresponsive: 'othersSilent',
  Running: 'running',
  /** The installation no longer depends on the daemon. */
  Completed: 'completed',
} as const;
export type RetirementState = ValueOf<typeof RetirementState>;

/** Retirement of the daemon with a given label; the daemon is null if the label is unknown. */
export interface Retirement {
  readonly daemon: DaemonId | null;
  readonly state: RetirementState;
}

/** Whether a daemon is retiring or has retired. */
export const isRetiring = (world: World, id: DaemonId): boolean => world.retirements.has(id);

/** Whether every other voter holds the entry that defines the current voters, and all before it. */
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

/** Incarnation of a daemon that is only named in the settings and has never sent a heartbeat. */
const unseenIncarnation = 0;

/** Returns the control daemons that have sent a heartbeat and are neither excluded nor retiring. */
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

/** Returns the retirement of the daemon with a label. The result is valid only on the leader. */
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
