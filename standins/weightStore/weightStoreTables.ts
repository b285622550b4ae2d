/**
 * The table of the weight store stand-in, with all requested downloads.
 */
import type { Brand } from '../../src/base/common/brand.js';
import type { ValueOf } from '../../src/base/common/handlers.js';
import { never, type Instant } from '../../src/base/common/time.js';
import { createTable } from '../../src/infrastructure/tables/common/table.js';
import type { FaultPlan } from '../faults/faults.js';

/** Lifecycle states of a download. */
export const DownloadState = {
  Sending: 'sending',
  Finished: 'finished',
  /** Its caller closed the connection. */
  Cancelled: 'cancelled',
  /** The store cut the connection. */
  Crashed: 'crashed',
  /** Keeps the connection open and sends nothing more. */
  Silent: 'silent',
} as const;
export type DownloadState = ValueOf<typeof DownloadState>;

/** A download and its progress. */
export interface DownloadRow {
  readonly id: Brand<'download'>;
  readonly service: string;
  readonly version: string;
  readonly plan: FaultPlan;
  readonly state: DownloadState;
  readonly bytesSent: number;
  readonly chunksSent: number;
  readonly chunkDeadline: Instant;
}

/** Creates the table of downloads. */
export const createDownloadTable = () =>
  createTable<DownloadRow, 'state', 'chunk'>({
    name: 'downloads',
    indices: { state: (row) => row.state },
    deadlines: {
      chunk: (row) => (row.state === DownloadState.Sending ? row.chunkDeadline : never),
    },
  });
export type DownloadTable = ReturnType<typeof createDownloadTable>;
