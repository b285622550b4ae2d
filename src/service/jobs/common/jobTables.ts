/**
 * Batch jobs: jobs, items and results are agreed rows, equal on all voters. Runs belong to the leader,
 * which gives items to upstreams.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import type { ValueOf } from '../../../base/common/handlers.js';
import { never, type Instant } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { CallId } from '../../forwarding/common/forwardingTables.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { JobItem, JobSubmitted, ListedItem, SavedItem, SavedText } from './jobCommands.js';

export type JobId = Brand<'job'>;
export type ItemId = Brand<'jobItem'>;
export type ResultId = Brand<'jobResult'>;

export const itemIdOf = (job: string, item: string): ItemId => asBrand(`${job}/${item}`);
export const resultIdOf = (job: string, position: number): ResultId =>
  asBrand(`${job}/${position}`);

export const JobState = { Open: 'open', Ended: 'ended' } as const;
export type JobState = ValueOf<typeof JobState>;

export interface JobRow extends Omit<JobSubmitted, 'kind' | 'job' | 'items'> {
  readonly id: JobId;
  readonly state: JobState;
  /** The newest weight version of its model when it was accepted. */
  readonly newestVersion: number;
  /** Tokens of all its items, as far as the trainer can tell. */
  readonly tokens: number;
  /** How many items it has. */
  readonly total: number;
  /** How many of them are listed. */
  readonly listed: number;
}

export interface JobItemRow extends JobItem {
  readonly id: ItemId;
  readonly job: JobId;
  readonly isListed: boolean;
  /** What is agreed of its text so far, from which another leader goes on. */
  readonly saved: SavedText | null;
}

export interface JobResultRow extends ListedItem {
  readonly id: ResultId;
  readonly job: JobId;
}

export const RunState = {
  /** Waits for an upstream. */
  Waiting: 'waiting',
  Running: 'running',
  /** The text is whole; its score is asked for. */
  Scoring: 'scoring',
  /** The result is proposed. */
  Proposed: 'proposed',
} as const;
export type RunState = ValueOf<typeof RunState>;

/** An item that the leader sees to. */
export interface RunRow {
  readonly id: ItemId;
  readonly job: JobId;
  readonly group: string;
  /** Whether its trainer can do without its group; see the module `spareGroups`. */
  readonly isSpare: boolean;
  readonly state: RunState;
  /** Rises with each start on an upstream; facts of earlier starts are dropped. */
  readonly start: number;
  readonly upstream: UpstreamId | null;
  /** The version that its engine must hold to run it, where its reports do not show it yet. */
  readonly expectedVersion: number | null;
  /** Events of the text so far. */
  readonly events: number;
  readonly text: string;
  readonly versions: readonly number[];
  /** Events of the text that are agreed, or proposed to be. */
  readonly savedEvents: number;
  /** Length of the text of those events. */
  readonly savedCharacters: number;
  /** When more of the text is proposed to be kept. */
  readonly saveDeadline: Instant;
  /** Failures that the upstreams themselves answered. */
  readonly failures: number;
  /** When a waiting run may be given to an upstream again. */
  readonly backoffDeadline: Instant;
  /** When its engine last showed progress at this start; before its first, negative infinity. */
  readonly lastProgressAt: Instant;
  /** Until when a running one must show progress. */
  readonly progressDeadline: Instant;
  /** When the item is given up. */
  readonly lifetimeDeadline: Instant;
  readonly call: CallId | null;
  /** Scoring requests that were answered with a failure. */
  readonly scoreFailures: number;
  /** When the score is asked for again. */
  readonly scoreRetryDeadline: Instant;
}

/** What the port reports of a start; the text is what came since its last report. */
export type RunFact = {
  readonly item: ItemId;
  readonly start: number;
} & (
  | {
      readonly kind: 'progress';
      readonly text: readonly string[];
      readonly versions: readonly number[];
    }
  /** The stream ended in good order. */
  | {
      readonly kind: 'whole';
      readonly text: readonly string[];
      readonly versions: readonly number[];
    }
  /** The stream broke; what came of it is whole events. */
  | {
      readonly kind: 'broken';
      readonly text: readonly string[];
      readonly versions: readonly number[];
      readonly reason: string;
    }
  /** Certainly not run. */
  | { readonly kind: 'notRun'; readonly reason: string }
  /** The upstream failed at it and said so. */
  | { readonly kind: 'failed' }
  /** The upstream said that it can never be done. */
  | { readonly kind: 'impossible' }
);

/** A result that waits to be proposed. */
export interface QueuedResult {
  readonly job: JobId;
  readonly listed: ListedItem;
}

/** A part of a text that waits to be proposed. */
export interface QueuedText {
  readonly job: JobId;
  readonly saved: SavedItem;
}

/** The score that a scoring request gave, read from the answer by the port. */
export interface ScoreFact {
  readonly call: CallId;
  readonly status: number;
  readonly score: string | null;
}

export const createJobTables = () => ({
  jobs: createTable<JobRow, 'state'>({
    name: 'jobs',
    indices: { state: (row) => row.state },
    deadlines: {},
  }),
  jobItems: createTable<JobItemRow, 'unlisted' | 'job' | 'item'>({
    name: 'jobItems',
    indices: {
      unlisted: (row) => (row.isListed ? undefined : row.job),
      job: (row) => row.job,
      item: (row) => row.item,
    },
    deadlines: {},
  }),
  jobResults: createTable<JobResultRow, 'job'>({
    name: 'jobResults',
    indices: { job: (row) => row.job },
    deadlines: {},
  }),
  runs: createTable<
    RunRow,
    'job' | 'state' | 'upstream' | 'group' | 'call',
    'progress' | 'life' | 'backoff' | 'rescore'
  >({
    name: 'runs',
    indices: {
      job: (row) => row.job,
      state: (row) => row.state,
      upstream: (row) => (row.state === RunState.Running ? row.upstream! : undefined),
      group: (row) => (row.upstream === null ? undefined : `${row.job}/${row.group}`),
      call: (row) => row.call ?? undefined,
    },
    deadlines: {
      progress: (row) => (row.state === RunState.Running ? row.progressDeadline : never),
      life: (row) => (row.state === RunState.Proposed ? never : row.lifetimeDeadline),
      rescore: (row) =>
        row.state === RunState.Scoring && row.call === null ? row.scoreRetryDeadline : never,
      backoff: (row) => (row.state === RunState.Waiting ? row.backoffDeadline : never),
    },
  }),
  runFacts: createRowQueue<RunFact>('runFacts', RowReader.System),
  itemResults: createRowQueue<QueuedResult>('itemResults', RowReader.System),
  savedTexts: createRowQueue<QueuedText>('savedTexts', RowReader.System),
  scoreFacts: createRowQueue<ScoreFact>('scoreFacts', RowReader.System),
});
