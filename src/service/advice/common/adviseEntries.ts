/**
 * Which entries a caller should use: those that live and know the settings in force. Entries of the
 * caller's zone, or else of its region, go alone while there are at least two of them. Control daemons know
 * all entries; an entry advises those that a control daemon has named to it lately.
 */
import { Role } from '../../../infrastructure/settings/common/deployment.js';
import {
  DaemonState,
  type AdvisedEntryRow,
  type DaemonRow,
} from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';

/** Where a caller is. */
export interface CallerLocation {
  readonly zone: string;
  readonly region: string;
}

/** With fewer entries than this, the loss of one leaves a caller without any. */
const minimumEntries = 2;

const isUsable = (row: DaemonRow): boolean =>
  row.isEntry && row.state === DaemonState.Alive && row.isFresh;

/** The entries that callers may use, as a control daemon knows them. */
export const listUsableEntries = (world: World): DaemonRow[] =>
  [...world.daemons.rows()].filter(isUsable);

const listKnownEntries = (world: World): readonly (DaemonRow | AdvisedEntryRow)[] =>
  world.self.roles.includes(Role.Control)
    ? listUsableEntries(world)
    : [...world.advisedEntries.rows()];

/** The addresses for a caller at this place. */
export const selectEntryAddresses = (world: World, { zone, region }: CallerLocation): string[] => {
  const usable = listKnownEntries(world);
  const candidateGroups = [
    usable.filter((row) => row.zone === zone),
    usable.filter((row) => row.region === region),
  ];
  const selected = candidateGroups.find((rows) => rows.length >= minimumEntries) ?? usable;
  return selected.map(({ callerAddress }) => callerAddress);
};
