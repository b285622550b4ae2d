/**
 * Which entries a caller should use: those that live and know the settings in force. Entries of the
 * caller's zone, or else of its region, go alone while there are at least two of them.
 */
import { DaemonState, type DaemonRow } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';

/** Where a caller is. */
export interface Place {
  readonly zone: string;
  readonly region: string;
}

/** With fewer entries than this, the loss of one leaves a caller without any. */
const fewestEntries = 2;

const isUsable = (row: DaemonRow): boolean =>
  row.isEntry && row.state === DaemonState.Alive && row.isFresh;

/** The addresses for a caller at this place. */
export const adviseEntries = (world: World, { zone, region }: Place): string[] => {
  const usable = [...world.daemons.rows()].filter(isUsable);
  const circles = [
    usable.filter((row) => row.zone === zone),
    usable.filter((row) => row.region === region),
  ];
  const chosen = circles.find((rows) => rows.length >= fewestEntries) ?? usable;
  return chosen.map(({ callerAddress }) => callerAddress);
};
