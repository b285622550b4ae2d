/**
 * Storage interface of the port of bodies. Daemons store bodies on disk; simulations with virtual
 * time keep them in memory.
 */
import type { Result } from 'neverthrow';
import type { BodyId, LotId } from '../../../service/world/common/identifiers.js';

/** A body to write. */
export interface StoredBody {
  readonly body: BodyId;
  readonly lot: LotId;
  readonly content: string;
}

/** A failed write of bodies. */
export interface BodyStoreError {
  readonly kind: 'bodyNotWritten';
  readonly message: string;
}

/** Stores bodies by lot; a body that is written twice is stored once. */
export interface BodyStore {
  /** Calls back when all bodies are synced or the write has failed. */
  readonly write: (
    bodies: readonly StoredBody[],
    onDidWrite: (outcome: Result<void, BodyStoreError>) => void,
  ) => void;
  /** Calls back with the body, or undefined if it is missing or incomplete. */
  readonly read: (
    lot: LotId,
    body: BodyId,
    onDidRead: (content: string | undefined) => void,
  ) => void;
  readonly deleteLot: (lot: LotId) => void;
}
