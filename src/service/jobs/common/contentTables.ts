/**
 * Tables of the contents of jobs with home regions. None of them is replicated by the log: a daemon
 * has rows of the contents that it holds, that it stores at holders, and that it reads for callers.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import type { ValueOf } from '../../../base/common/handlers.js';
import { never, type Instant } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { Content } from './contentMessages.js';
import type { ListedItem } from './jobCommands.js';
import type { FinalAnswer } from './jobReadMessages.js';
import type { JobReadId } from './jobReads.js';
import type { JobId } from './jobTables.js';

export type ContentId = Brand<'content'>;
export type ContentStoringId = Brand<'contentStoring'>;
export type ContentCopyId = Brand<'contentCopy'>;

export const contentIdOf = (job: string, digest: string): ContentId => asBrand(`${job}|${digest}`);

/** A content that is synced to the disk of this daemon. */
export interface HeldContentRow extends Content {
  readonly id: ContentId;
  readonly job: JobId;
}

/** A job of which this daemon holds contents. */
export interface ContentJobRow {
  readonly id: JobId;
  /** Whether the log names this daemon as a holder. */
  readonly isHolder: boolean;
  /** Time at which the contents are removed unless this daemon is a holder by then. */
  readonly orphanDeadline: Instant;
}

/** A content that this daemon should hold and does not. */
export interface LackingContentRow {
  readonly id: ContentId;
  readonly job: JobId;
  readonly digest: string;
  /** Number of daemons that were asked in vain; selects the next one. */
  readonly attempts: number;
  /** Time at which the next daemon is asked. */
  readonly askDeadline: Instant;
}

export const contentStoreId: Brand<'contentStore'> = asBrand('contentStore');

/** Exists once the contents on the disk of this daemon have been read. */
export interface ContentStoreRow {
  readonly id: typeof contentStoreId;
}

/** What is done once the contents are stored. */
export const StoringPurpose = {
  /** A job is submitted; holders are chosen. */
  Submission: 'submission',
  /** Results are proposed; the holders of the job store their texts. */
  Results: 'results',
} as const;
export type StoringPurpose = ValueOf<typeof StoringPurpose>;

export const StoringState = {
  Storing: 'storing',
  Stored: 'stored',
  /** Too few holders; nothing was proposed. */
  Refused: 'refused',
} as const;
export type StoringState = ValueOf<typeof StoringState>;

/** Contents that this daemon stores at holders. */
export interface ContentStoringRow {
  readonly id: ContentStoringId;
  readonly job: JobId;
  readonly purpose: StoringPurpose;
  readonly state: StoringState;
  /** Contents, divided into what one message carries. */
  readonly batches: readonly (readonly Content[])[];
  /** Regions of the holders of a submission; not used for results. */
  readonly homes: readonly string[];
  /** Results that are proposed once their texts are stored; empty for a submission. */
  readonly results: readonly ListedItem[];
  /** Daemons that have stored all contents of a submission. */
  readonly holders: readonly DaemonId[];
  /** Time at which a submission is refused; never for results. */
  readonly refusalDeadline: Instant;
}

export const ContentCopyState = {
  Sending: 'sending',
  Stored: 'stored',
  /** The daemon did not answer in time or could not write. */
  Failed: 'failed',
} as const;
export type ContentCopyState = ValueOf<typeof ContentCopyState>;

/** The contents of one storing at one holder. */
export interface ContentCopyRow {
  readonly id: ContentCopyId;
  readonly storing: ContentStoringId;
  readonly daemon: DaemonId;
  readonly state: ContentCopyState;
  /** Number of batches that were sent. */
  readonly sentBatches: number;
  /** Positions of the batches that the holder has synced. */
  readonly storedBatches: readonly number[];
  /** Time at which the holder counts as silent; renewed with each answer. */
  readonly answerDeadline: Instant;
}

/** A daemon that did not store contents in time, or could not; others are preferred for a while. */
export interface SilentHolderRow {
  readonly id: DaemonId;
  /** Time until which others are preferred. */
  readonly avoidanceDeadline: Instant;
}

/** Contents by their digests. */
export type HeldBytes = ReadonlyMap<string, Content['bytes']>;

/** An answer to a caller that waits for contents from holders. */
export interface ContentReadRow {
  readonly id: JobReadId;
  readonly job: string;
  /** Digests of the contents that the answer needs. */
  readonly digests: readonly string[];
  readonly contents: HeldBytes;
  /** Creates the answer from all contents. */
  readonly createAnswer: (contents: HeldBytes) => FinalAnswer;
  /** Holders in the order in which they are asked. */
  readonly holders: readonly DaemonId[];
  /** Number of holders asked so far. */
  readonly attempts: number;
  /** Time at which the next holder is asked. */
  readonly askDeadline: Instant;
}

/** Instructs the port to write contents to the local disk. */
export interface ContentWrite {
  readonly job: JobId;
  readonly contents: readonly Content[];
  /** Where the outcome is reported; null for contents that this daemon has copied itself. */
  readonly offer: {
    readonly from: DaemonId;
    readonly storing: ContentStoringId;
    readonly batch: number;
  } | null;
}

/** A content as the port has read it from the disk. */
export interface StoredContent extends Content {
  readonly job: JobId;
}

/** Facts that the port reports about the disk. */
export type ContentFact =
  | { readonly kind: 'recovered'; readonly contents: readonly StoredContent[] }
  | { readonly kind: 'written'; readonly write: ContentWrite; readonly isStored: boolean };

/** Results whose texts the port has to digest before they are stored at holders. */
export interface UndigestedResults {
  readonly job: JobId;
  readonly results: readonly ListedItem[];
}

export const createContentTables = () => ({
  heldContents: createTable<HeldContentRow, 'job'>({
    name: 'heldContents',
    indices: { job: (row) => row.job },
    deadlines: {},
  }),
  contentJobs: createTable<ContentJobRow, never, 'orphan'>({
    name: 'contentJobs',
    indices: {},
    deadlines: { orphan: (row) => (row.isHolder ? never : row.orphanDeadline) },
  }),
  lackingContents: createTable<LackingContentRow, 'job', 'ask'>({
    name: 'lackingContents',
    indices: { job: (row) => row.job },
    deadlines: { ask: (row) => row.askDeadline },
  }),
  contentStores: createTable<ContentStoreRow>({
    name: 'contentStores',
    indices: {},
    deadlines: {},
  }),
  contentStorings: createTable<ContentStoringRow, never, 'refusal'>({
    name: 'contentStorings',
    indices: {},
    deadlines: {
      refusal: (row) => (row.state === StoringState.Storing ? row.refusalDeadline : never),
    },
  }),
  contentCopies: createTable<ContentCopyRow, 'storing', 'answer'>({
    name: 'contentCopies',
    indices: { storing: (row) => row.storing },
    deadlines: {
      answer: (row) => (row.state === ContentCopyState.Stored ? never : row.answerDeadline),
    },
  }),
  silentHolders: createTable<SilentHolderRow, never, 'avoidance'>({
    name: 'silentHolders',
    indices: {},
    deadlines: { avoidance: (row) => row.avoidanceDeadline },
  }),
  contentReads: createTable<ContentReadRow, 'job', 'ask'>({
    name: 'contentReads',
    indices: { job: (row) => row.job },
    deadlines: { ask: (row) => row.askDeadline },
  }),
  contentWrites: createRowQueue<ContentWrite>('contentWrites', RowReader.Port),
  contentDeletions: createRowQueue<JobId>('contentDeletions', RowReader.Port),
  contentFacts: createRowQueue<ContentFact>('contentFacts', RowReader.System),
  undigestedResults: createRowQueue<UndigestedResults>('undigestedResults', RowReader.Port),
});
