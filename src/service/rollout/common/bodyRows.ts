/**
 * Rows and queue entries for bodies: the texts of samples and the prompts of lots, each of which is
 * stored by two daemons with disks.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import type {
  BodyCopyId,
  BodyId,
  BodyReadId,
  DaemonId,
  LotId,
} from '../../world/common/identifiers.js';

/** States of a copy of a body. */
export const CopyState = {
  /** Requested, but not yet confirmed to be on disk. */
  Requested: 'wanted',
  /** Synced to disk. */
  Stored: 'stored',
  /** The daemon could not write it, or was not available. */
  Failed: 'failed',
} as const;
export type CopyState = ValueOf<typeof CopyState>;

/** One copy of a body, as tracked by the daemon that created the body. */
export interface BodyCopyRow {
  readonly id: BodyCopyId;
  readonly body: BodyId;
  readonly lot: LotId;
  readonly daemon: DaemonId;
  readonly state: CopyState;
  /** Time at which the copy is checked, and resent if it is still missing. */
  readonly copyDeadline: Instant;
}

/** Instructs the port to send a body to a daemon, or to write it locally if that is this daemon. */
export interface BodySendRequest {
  readonly body: BodyId;
  readonly lot: LotId;
  readonly to: DaemonId;
}

/** Instructs the port to write a body to disk and report whether it is synced. */
export interface BodyWriteRequest {
  readonly body: BodyId;
  readonly lot: LotId;
  readonly from: DaemonId;
  readonly content: string;
}

/** The port's result of writing a body to the local disk. */
export interface BodyWriteResult {
  readonly body: BodyId;
  /** The daemon that requested the write. */
  readonly from: DaemonId;
  readonly stored: boolean;
}

/** States of a read of a body. */
export const ReadState = {
  Pending: 'wanted',
  /** The port has the content in memory. */
  Loaded: 'here',
  /** None of its replica holders returned it. */
  Missing: 'missing',
} as const;
export type ReadState = ValueOf<typeof ReadState>;

/** A body that a reader on this daemon needs; the port keeps it in memory while the row exists. */
export interface BodyReadRow {
  readonly id: BodyReadId;
  readonly body: BodyId;
  readonly lot: LotId;
  /** Identifier of the fetch or lot that needs the body. */
  readonly reader: string;
  readonly holders: readonly DaemonId[];
  /** Number of holders that the body has been requested from so far. */
  readonly requestedHolderCount: number;
  readonly state: ReadState;
  /** Time at which the body is requested from the next holder. */
  readonly readDeadline: Instant;
}

/**
 * Instructs the port to read a body from disk: into memory if the recipient is this daemon,
 * otherwise into a message to the recipient.
 */
export interface BodyLoadRequest {
  readonly body: BodyId;
  readonly lot: LotId;
  readonly recipient: DaemonId;
}

/** The result of a read: whether the port now has the body in memory. */
export interface BodyLoadResult {
  readonly body: BodyId;
  readonly found: boolean;
}

/** A body received from another daemon, which the port keeps in memory. */
export interface ReceivedBody {
  readonly body: BodyId;
  readonly content: string;
}
