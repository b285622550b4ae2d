/**
 * Copies of bodies: the texts of samples and the prompts of lots, each on two daemons with disks.
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

export const CopyState = {
  /** Asked for; not known to be on the disk. */
  Requested: 'wanted',
  /** Synced to the disk. */
  Stored: 'stored',
  /** The daemon could not write it. */
  Failed: 'failed',
} as const;
export type CopyState = ValueOf<typeof CopyState>;

/** One copy of a body, as the daemon that made the body sees it. */
export interface BodyCopyRow {
  readonly id: BodyCopyId;
  readonly body: BodyId;
  readonly lot: LotId;
  readonly daemon: DaemonId;
  readonly state: CopyState;
  /** When the body is sent again. */
  readonly copyDeadline: Instant;
}

/** The port sends the body to this daemon, or writes it where the daemon is its own. */
export interface BodySend {
  readonly body: BodyId;
  readonly lot: LotId;
  readonly to: DaemonId;
}

/** The port writes the body and reports whether it is synced. */
export interface BodyWrite {
  readonly body: BodyId;
  readonly lot: LotId;
  readonly from: DaemonId;
  readonly content: string;
}

/** A body was written and synced here, or could not be. */
export interface BodyWriteResult {
  readonly body: BodyId;
  /** The daemon that wants to know. */
  readonly from: DaemonId;
  readonly stored: boolean;
}

export const ReadState = {
  Pending: 'wanted',
  /** The port has the content in memory. */
  Loaded: 'here',
  /** No holder has given it. */
  Missing: 'missing',
} as const;
export type ReadState = ValueOf<typeof ReadState>;

/** A body that a reader of this daemon needs in memory for as long as the row stands. */
export interface BodyReadRow {
  readonly id: BodyReadId;
  readonly body: BodyId;
  readonly lot: LotId;
  /** The fetch or the lot that needs it. */
  readonly reader: string;
  readonly holders: readonly DaemonId[];
  /** How many holders have been asked. */
  readonly requestedHolderCount: number;
  readonly state: ReadState;
  /** When the next holder is asked. */
  readonly readDeadline: Instant;
}

/** The port reads the body from disk: for itself into memory, for another daemon as a message. */
export interface BodyLoad {
  readonly body: BodyId;
  readonly lot: LotId;
  readonly recipient: DaemonId;
}

/** A body has come into the memory of the port, or could not be had from the daemon that was asked. */
export interface BodyArrival {
  readonly body: BodyId;
  readonly found: boolean;
}

/** A body as it came from another daemon, for the port to keep. */
export interface BodyReceipt {
  readonly body: BodyId;
  readonly content: string;
}
