/**
 * The store of bodies as the port of bodies uses it: on disk in a process, in memory on virtual time.
 */
import type { Result } from 'neverthrow';
import type { BodyId, LotId } from '../../../service/world/common/identifiers.js';

/** One body to be written. */
export interface StoredBody {
  readonly body: BodyId;
  readonly lot: LotId;
  readonly content: string;
}

/** Why bodies could not be written. */
export interface BodyStoreError {
  readonly kind: 'bodyNotWritten';
  readonly message: string;
}

/** Keeps bodies by lot; a body that is written twice is kept once. */
export interface BodyStore {
  /** Calls back when all bodies are synced, or could not be. */
  readonly write: (
    bodies: readonly StoredBody[],
    onDidWrite: (outcome: Result<void, BodyStoreError>) => void,
  ) => void;
  /** Calls back with the body, or undefined where the store does not have it whole. */
  readonly read: (
    lot: LotId,
    body: BodyId,
    onDidRead: (content: string | undefined) => void,
  ) => void;
  readonly deleteLot: (lot: LotId) => void;
}
