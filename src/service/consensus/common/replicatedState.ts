/**
 * The replicated tables: those that only committed entries change, and that are therefore the same on
 * all daemons that receive their topic. Captures their rows for a snapshot, and restores them.
 */
import type { Instant } from '../../../base/common/time.js';
import type { World } from '../../world/common/world.js';
import type { Topic } from './command.js';
import type { SnapshotPart } from './snapshot.js';

/** Returns the rows of all replicated tables, divided into parts that each fit a message. */
export const captureReplicatedState = (_world: World): SnapshotPart[] => [];

/** Returns the parts of the tables of these topics. */
export const selectParts = (
  parts: readonly SnapshotPart[],
  _topics: readonly Topic[],
): readonly SnapshotPart[] => parts;

/** Whether the parts hold only rows that this daemon can read, of replicated tables. */
export const arePartsReadable = (_parts: readonly SnapshotPart[]): boolean => true;

/** Replaces the rows of all replicated tables of these topics. The parts must be readable. */
export const restoreReplicatedState = (
  _world: World,
  _parts: readonly SnapshotPart[],
  _topics: readonly Topic[],
  _now: Instant,
): void => {};
