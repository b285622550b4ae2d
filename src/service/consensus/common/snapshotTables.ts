/**
 * Tables of snapshots: the newest one of this daemon, and the one that it receives. Each has at most
 * one row. Parts are shared with the replicated tables, as rows are never changed in place.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import type { Instant } from '../../../base/common/time.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { Snapshot, SnapshotPart } from './snapshot.js';

/** Identifier of the only row of `snapshots`. */
export const snapshotId: Brand<'snapshot'> = asBrand('snapshot');

/** The newest snapshot of this daemon. */
export interface SnapshotRow extends Snapshot {
  readonly id: Brand<'snapshot'>;
  /** Upper bound of the bytes that its parts take in messages. */
  readonly encodedBytes: number;
  /** Time until which a daemon that receives it may ask for more; it is not replaced before. */
  readonly transferDeadline: Instant;
  /** Time from which it is replaced even if a daemon still receives it. */
  readonly replacementDeadline: Instant;
}

/** Identifier of the only row of `incomingSnapshots`. */
export const incomingSnapshotId: Brand<'incomingSnapshot'> = asBrand('incomingSnapshot');

/** The snapshot that this daemon receives from another one. */
export interface IncomingSnapshotRow {
  readonly id: Brand<'incomingSnapshot'>;
  readonly from: DaemonId;
  readonly index: number;
  /** The parts received so far, in order. */
  readonly parts: readonly SnapshotPart[];
  /** Time at which the last part arrived. */
  readonly progressAt: Instant;
  /** Time at which the next part is requested again; `never` if the snapshot could not be read. */
  readonly requestDeadline: Instant;
  /** Time from which the snapshot of another sender replaces it. */
  readonly replacementDeadline: Instant;
}

export const createSnapshotTables = () => ({
  snapshots: createTable<SnapshotRow>({ name: 'snapshots', indices: {}, deadlines: {} }),
  incomingSnapshots: createTable<IncomingSnapshotRow, never, 'request'>({
    name: 'incomingSnapshots',
    indices: {},
    deadlines: {
      request: (row) => row.requestDeadline,
    },
  }),
});
