/**
 * Selects the entries that a caller should use: those that are alive and have fresh settings. If at
 * least two of them are in the caller's zone, or else in its region, only those are returned.
 * Control daemons know all entries; an entry uses the latest list that it received from a control
 * daemon.
 */
import { Role } from '../../../infrastructure/settings/common/deployment.js';
import {
  DaemonState,
  type AdvisedEntryRow,
  type DaemonRow,
} from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';

/** Availability zone and region of a caller. */
export interface CallerLocation {
  readonly zone: string;
  readonly region: string;
}

/** With fewer entries, the failure of one would leave a caller without any. */
const minimumEntries = 2;

const isUsable = (row: DaemonRow): boolean =>
  row.isEntry && row.state === DaemonState.Alive && row.isFresh;

/** Lists the entries that callers can use, as known to a control daemon. */
export const listUsableEntries = (world: World): DaemonRow[] =>
  [...world.daemons.rows()].filter(isUsable);

const listKnownEntries = (world: World): readonly (DaemonRow | AdvisedEntryRow)[] =>
  world.self.roles.includes(Role.Control)
    ? listUsableEntries(world)
    : [...world.advisedEntries.rows()];

/** Selects the addresses (`host:port`) for a caller at this location, in no particular order. */
export const selectEntryAddresses = (world: World, { zone, region }: CallerLocation): string[] => {
  const usable = listKnownEntries(world);
  const candidateGroups = [
    usable.filter((row) => row.zone === zone),
    usable.filter((row) => row.region === region),
  ];
  const selected = candidateGroups.find((rows) => rows.length >= minimumEntries) ?? usable;
  return selected.map(({ callerAddress }) => callerAddress);
};
