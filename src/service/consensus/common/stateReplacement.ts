/**
 * Replaces all that storage holds by the current state of the replica: its snapshot, the entries after
 * it, and its vote.
 */
import type { World } from '../../world/common/world.js';
import type { DurableState } from './durableState.js';
import { entryRowsBetween } from './entryBatch.js';
import { replicaOf, requestWrite, snapshotOf, toLogEntry } from './replicaLog.js';

const durableStateOf = (world: World): DurableState => {
  const { term, votedFor, hasJoined, lastIndex } = replicaOf(world);
  const snapshot = snapshotOf(world);
  const firstIndex = (snapshot?.header.index ?? 0) + 1;
  return {
    term,
    votedFor,
    hasJoined,
    snapshot: snapshot === undefined ? null : { header: snapshot.header, parts: snapshot.parts },
    entries: [...entryRowsBetween(world, firstIndex, lastIndex)].map(toLogEntry),
  };
};

/**
 * Requests the write. It is optional where storage already holds records that result in the same
 * state, and more space is all that is lost if it fails.
 */
export const requestStateReplacement = (world: World, isOptional: boolean): void =>
  requestWrite(world, { kind: 'stateReplaced', state: durableStateOf(world), isOptional });
