/**
 * Tables of batch jobs. Jobs, items and results are replicated rows, identical on all voters. Runs
 * exist only on the daemon that assigns the items of a job to upstreams: the leader, or the runner of
 * a job with home regions. An upstream that serves a model is called an engine.
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
  /** The newest weight version of the model when the job was accepted. */
  readonly newestVersion: number;
  /** Sum of the expected tokens of all items, or of their token limits where none is given. */
  readonly tokens: number;
  /** Number of items. */
  readonly total: number;
  /** Number of listed results. */
  readonly listed: number;
  /** Daemon that runs the items of a job with home regions; null for other jobs. */
  readonly runner: string | null;
  /** Daemons that were holders, the latest first; new holders copy contents from them too. */
  readonly formerHolders: readonly string[];
}

/** The only value of the index of open jobs with home regions. */
export const homeJobGroup = 'home';

const isOpenHomeJob = ({ state, homeRegions }: JobRow): boolean =>
  state === JobState.Open && homeRegions.length > 0;

export interface JobItemRow extends JobItem {
  readonly id: ItemId;
  readonly job: JobId;
  readonly isListed: boolean;
  /** The replicated part of the text, which a new leader continues. */
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
  /** The text is complete; that one software version wrote all of it is still to be confirmed. */
  Confirming: 'confirming',
  /** The text is complete; its score is requested. */
  Scoring: 'scoring',
  /** The result is proposed. */
  Proposed: 'proposed',
} as const;
export type RunState = ValueOf<typeof RunState>;

/** The execution of an unlisted item; exists only on the daemon that runs its job. */
export interface RunRow {
  readonly id: ItemId;
  readonly job: JobId;
  readonly group: string;
  /** Whether the trainer can proceed without this group; see the module `spareGroups`. */
  readonly isSpare: boolean;
  readonly state: RunState;
  /** Incremented with each start on an upstream; facts of earlier starts are dropped. */
  readonly start: number;
  readonly upstream: UpstreamId | null;
  /** Start of the engine to which the run was sent last, as a wall-clock time in milliseconds. */
  readonly engineStartedAt: number;
  /** Number of events of the text that earlier starts of the run had received. */
  readonly continuedEvents: number;
  /** The weight version that the engine must hold although its reports may not show it; or null. */
  readonly expectedVersion: number | null;
  /** Number of events in the text so far. */
  readonly events: number;
  readonly text: string;
  readonly versions: readonly number[];
  /** Software version of the engines that write the text; null while it is empty or unknown. */
  readonly softwareVersion: string | null;
  /** Number of events of the text that are saved, or proposed to be. */
  readonly savedEvents: number;
  /** Length of the saved part of the text, in characters. */
  readonly savedCharacters: number;
  /** Time from which the next progress report saves more of the text. */
  readonly saveDeadline: Instant;
  /** Number of failures that upstreams reported explicitly. */
  readonly failures: number;
  /** Number of starts in a row that brought an inconclusive answer. */
  readonly inconclusiveAnswers: number;
  /** Number of starts in a row that ended regularly without an event, but without a marked end. */
  readonly confirmations: number;
  /** Time from which a waiting run can be assigned to an upstream. */
  readonly backoffDeadline: Instant;
  /** Time until which a waiting run keeps its text for an engine of the same software version. */
  readonly continuationDeadline: Instant;
  /** Time of the last progress report on this start; negative infinity before the first. */
  readonly lastProgressAt: Instant;
  /** Time at which a running run times out for lack of progress. */
  readonly progressDeadline: Instant;
  /** Time from which the port must not send it, because its permit expires; `never` without one. */
  readonly permitDeadline: Instant;
  /** Time at which the item is abandoned. */
  readonly lifetimeDeadline: Instant;
  readonly call: CallId | null;
  /** Number of scoring requests that were answered with a failure. */
  readonly scoreFailures: number;
  /** Time at which the scoring request is retried. */
  readonly scoreRetryDeadline: Instant;
}

/** A fact that the port reports about one start; `text` holds the events since its last report. */
export type RunFact = {
  readonly item: ItemId;
  readonly start: number;
} & (
  | {
      readonly kind: 'progress';
      readonly text: readonly string[];
      readonly versions: readonly number[];
    }
  /** The stream ended regularly; the text is complete. */
  | {
      readonly kind: 'whole';
      readonly text: readonly string[];
      readonly versions: readonly number[];
    }
  /**
   * The stream ended with its connection after a whole event, which may have cut it; starts that
   * bring no further event confirm that the text is complete.
   */
  | {
      readonly kind: 'unconfirmed';
      readonly text: readonly string[];
      readonly versions: readonly number[];
    }
  /** The stream broke; `text` contains only complete events. */
  | {
      readonly kind: 'broken';
      readonly text: readonly string[];
      readonly versions: readonly number[];
      readonly reason: string;
    }
  /** The upstream answered without an event, and its answer does not tell whether it failed. */
  | { readonly kind: 'inconclusive'; readonly reason: string }
  /** The upstream sent more than the item can have; nothing that it wrote is text of the item. */
  | { readonly kind: 'excessive'; readonly reason: string }
  /** The upstream certainly did not run the item. */
  | { readonly kind: 'notRun'; readonly reason: string }
  /** The upstream ran the item and answered with a failure. */
  | { readonly kind: 'failed' }
  /** The upstream answered that the item can never succeed. */
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

/** A saved text that waits to be removed from the log. */
export interface DiscardedText {
  readonly job: JobId;
  readonly item: string;
}

/** The answer to a scoring request, parsed by the port; `score` is null if it contains none. */
export interface ScoreFact {
  readonly call: CallId;
  readonly status: number;
  readonly score: string | null;
}

export const createJobTables = () => ({
  jobs: createTable<JobRow, 'state' | 'home'>({
    name: 'jobs',
    indices: {
      state: (row) => row.state,
      home: (row) => (isOpenHomeJob(row) ? homeJobGroup : undefined),
    },
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
    'progress' | 'life' | 'backoff' | 'continuation' | 'rescore'
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
      continuation: (row) => (row.state === RunState.Waiting ? row.continuationDeadline : never),
      backoff: (row) => (row.state === RunState.Waiting ? row.backoffDeadline : never),
    },
  }),
  runFacts: createRowQueue<RunFact>('runFacts', RowReader.System),
  itemResults: createRowQueue<QueuedResult>('itemResults', RowReader.System),
  savedTexts: createRowQueue<QueuedText>('savedTexts', RowReader.System),
  discardedTexts: createRowQueue<DiscardedText>('discardedTexts', RowReader.System),
  scoreFacts: createRowQueue<ScoreFact>('scoreFacts', RowReader.System),
});
