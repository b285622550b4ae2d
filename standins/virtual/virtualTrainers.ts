/**
 * Fake trainers on virtual time. Each opens a lot at one daemon, fetches its batches in order,
 * records the delivered samples and acknowledges the last batch. A trainer switches to the next
 * daemon if a request times out.
 */
import { asBrand } from '../../src/base/common/brand.js';
import { deadlineAfter, type Instant, type Milliseconds } from '../../src/base/common/time.js';
import { Role } from '../../src/infrastructure/settings/common/deployment.js';
import { RowReader } from '../../src/infrastructure/tables/common/rowReader.js';
import { releaseBodies } from '../../src/service/rollout/common/bodySystem.js';
import {
  createLotOpened,
  type LotSpecification,
} from '../../src/service/rollout/common/openLot.js';
import { promptBodyIdOf } from '../../src/service/rollout/common/putLot.js';
import { textBodyIdOf } from '../../src/service/rollout/common/runs.js';
import {
  FetchState,
  SubmissionState,
  type FetchRow,
  type SubmissionRow,
} from '../../src/service/rollout/common/runRows.js';
import { submitLot } from '../../src/service/rollout/common/submissionSystem.js';
import type { VersionSpan } from '../../src/service/traffic/common/trafficTables.js';
import type {
  AttemptId,
  FetchId,
  LotId,
  SampleId,
} from '../../src/service/world/common/identifiers.js';
import type { VirtualBodies } from './virtualBodies.js';
import type { VirtualContext, VirtualPort } from './virtualInstallation.js';

/** One sample as it was delivered to a trainer. */
export interface Delivery {
  readonly lot: LotId;
  readonly cursor: number;
  readonly sample: SampleId;
  readonly attempt: AttemptId | null;
  readonly spans: readonly VersionSpan[];
  readonly text: string;
  /** The weight version of the trainer when it sent the fetch. */
  readonly trainerVersion: number;
  readonly at: Instant;
}

/** A trainer and its lot. */
export interface Trainer {
  daemon: string;
  readonly specification: LotSpecification;
  lot: LotId | null;
  cursor: number;
  trainerVersion: number;
  /** Number of further answers to drop on their way to the trainer. */
  answersToDrop: number;
  /** The instant at which the last batch was received, or null. */
  finishedAt: Instant | null;
  /** Whether the ledger has confirmed that every batch is acknowledged. */
  isEnded: boolean;
  /** Why its last submission or fetch was refused, or null. */
  refusal: string | null;
}

/** The fake trainers of one installation. */
export interface VirtualTrainers {
  /** Creates the trainer port of one daemon process. */
  readonly createPort: (context: VirtualContext) => VirtualPort;
  readonly open: (entry: string, specification: LotSpecification) => Trainer;
  /** Sends the request for the lot of a trainer again, to the given daemon. */
  readonly resubmitLot: (trainer: Trainer, daemon: string) => void;
  readonly trainers: () => readonly Trainer[];
  /**
   * All samples that trainers received; batches received again under the same cursor are not
   * repeated.
   */
  readonly deliveries: () => readonly Delivery[];
  /** Answers that arrived after the trainer had sent a newer request; the trainer ignores them. */
  readonly lateAnswers: () => number;
}

const fetchWaitMilliseconds = 5_000;
const ledgerTimeoutMilliseconds = 5_000;
const fetchRetryDelayMilliseconds = 200;
/** A trainer retries at the next daemon after this time without an answer. */
const requestTimeoutMilliseconds = 12_000;
const promptDigest = 'prompts';

/** Creates trainers with a one-way latency of `latency` milliseconds to every daemon. */
export const createVirtualTrainers = (
  latency: Milliseconds,
  bodies: VirtualBodies,
): VirtualTrainers => {
  const contextByDaemon = new Map<string, VirtualContext>();
  const trainers: Trainer[] = [];
  const deliveries: Delivery[] = [];
  const pendingFetches = new Map<
    FetchId,
    { readonly trainer: Trainer; readonly question: number }
  >();
  const requestNumbers = new Map<Trainer, number>();
  let lateAnswers = 0;
  let scheduleAction: (delay: Milliseconds, action: () => void) => void = () => {};

  const getLedgerDaemons = (): string[] =>
    [...contextByDaemon.values()]
      .filter(({ daemon }) => daemon.core.world.self.roles.includes(Role.Control))
      .map(({ daemon }) => daemon.name);

  /**
   * The ledger daemon to which an entry forwards trainers; the entry itself if it holds the ledger.
   */
  const selectLedgerDaemon = (entry: string): string => {
    const names = getLedgerDaemons();
    return names.includes(entry) ? entry : names[0]!;
  };

  const selectNextLedgerDaemon = (name: string): string => {
    const names = getLedgerDaemons();
    return names[(names.indexOf(name) + 1) % names.length]!;
  };

  /**
   * Starts the timeout of a request, which retries it at the next daemon. Returns the request
   * number.
   */
  const startRequestTimeout = (trainer: Trainer, retry: () => void): number => {
    const requestNumber = (requestNumbers.get(trainer) ?? 0) + 1;
    requestNumbers.set(trainer, requestNumber);
    scheduleAction(requestTimeoutMilliseconds, () => {
      if (requestNumbers.get(trainer) !== requestNumber || trainer.isEnded) return;
      Object.assign(trainer, { daemon: selectNextLedgerDaemon(trainer.daemon) });
      retry();
    });
    return requestNumber;
  };

  const requestBatch = (trainer: Trainer): void => {
    const context = contextByDaemon.get(trainer.daemon)!;
    const requestNumber = startRequestTimeout(trainer, () => requestBatch(trainer));
    context.schedule(latency, () => {
      const { world } = context.daemon.core;
      const id = world.identifiers.next<FetchId>('fetch');
      pendingFetches.set(id, { trainer, question: requestNumber });
      const fetchDeadline = deadlineAfter(context.now(), fetchWaitMilliseconds);
      world.fetches.put({
        id,
        lot: trainer.lot!,
        workspace: trainer.specification.workspace,
        cursor: trainer.cursor,
        trainerVersion: trainer.trainerVersion,
        state: FetchState.Arrived,
        fetchDeadline,
        ledgerDeadline: deadlineAfter(fetchDeadline, ledgerTimeoutMilliseconds),
        batch: null,
        isConfirmed: false,
      });
    });
  };

  const deliveriesOf = (context: VirtualContext, row: FetchRow): Delivery[] => {
    const { world } = context.daemon.core;
    return world.batches.get(row.batch!)!.samples.map((id) => {
      const { attempt, spans } = world.samples.get(id)!;
      const text = bodies.portOf(context.daemon.name).getContent(textBodyIdOf(id, attempt!))!;
      const { lot, cursor } = row;
      const trainerVersion = row.trainerVersion ?? 0;
      return { lot, cursor, sample: id, attempt, spans, text, trainerVersion, at: context.now() };
    });
  };

  const handleBatch = (context: VirtualContext, trainer: Trainer, row: FetchRow): void => {
    const batch = context.daemon.core.world.batches.get(row.batch!)!;
    deliveries.push(...deliveriesOf(context, row));
    if (batch.nextCursor === null) Object.assign(trainer, { finishedAt: context.now() });
    Object.assign(trainer, { cursor: batch.cursor + 1 });
  };

  type AnswerHandler = (context: VirtualContext, trainer: Trainer, row: FetchRow) => void;

  const recordRefusal: AnswerHandler = (_, trainer, { state }) => {
    Object.assign(trainer, { refusal: state });
  };

  /** Handlers for the final states of a fetch; undefined for states that have no answer yet. */
  const handlers: Readonly<Record<FetchState, AnswerHandler | undefined>> = {
    arrived: undefined,
    waiting: undefined,
    collecting: undefined,
    ready: handleBatch,
    ended: (_, trainer) => {
      Object.assign(trainer, { isEnded: true });
    },
    notReady: () => {},
    refused: recordRefusal,
    failed: recordRefusal,
    unavailable: recordRefusal,
    ledgerSilent: recordRefusal,
  };

  const handleFetchChange = (context: VirtualContext, row: FetchRow): void => {
    const pendingFetch = pendingFetches.get(row.id);
    const handler = handlers[row.state];
    if (pendingFetch === undefined || handler === undefined) return;
    const { trainer, question: requestNumber } = pendingFetch;
    const isLateAnswer = requestNumbers.get(trainer) !== requestNumber;
    pendingFetches.delete(row.id);
    if (isLateAnswer) lateAnswers += 1;
    else if (trainer.answersToDrop > 0)
      Object.assign(trainer, { answersToDrop: trainer.answersToDrop - 1 });
    else handler(context, trainer, row);
    const { world } = context.daemon.core;
    releaseBodies(world, row.id);
    world.fetches.remove(row.id);
    if (isLateAnswer || trainer.isEnded || row.state === FetchState.Failed) return;
    const retryNumber = startRequestTimeout(trainer, () => requestBatch(trainer));
    scheduleAction(fetchRetryDelayMilliseconds + latency, () => {
      if (requestNumbers.get(trainer) === retryNumber) requestBatch(trainer);
    });
  };

  const handleSubmissionChange = (context: VirtualContext, row: SubmissionRow): void => {
    const waitingTrainers = trainers.filter(({ lot, isEnded }) => lot === row.id && !isEnded);
    const isDecided = row.state === SubmissionState.Opened || row.state === SubmissionState.Refused;
    if (!isDecided) return;
    context.daemon.core.world.submissions.remove(row.id);
    waitingTrainers.forEach((trainer) => {
      Object.assign(trainer, { refusal: row.refusal?.kind ?? null });
      if (row.state === SubmissionState.Opened && trainer.cursor === 0) requestBatch(trainer);
    });
  };

  /** Sends the request for the lot of a trainer. Repeated requests use the same lot identifier. */
  const sendLotRequest = (trainer: Trainer, daemon: string): void => {
    const context = contextByDaemon.get(daemon)!;
    context.schedule(latency, () => {
      const { world } = context.daemon.core;
      const command = createLotOpened(world, trainer.specification, promptDigest);
      Object.assign(trainer, { lot: trainer.lot ?? asBrand<LotId>(command.lot) });
      const lot = trainer.lot!;
      const prompts = JSON.stringify(
        Array.from({ length: trainer.specification.groupCount }, () => 'p'),
      );
      bodies.offerBody(daemon, promptBodyIdOf(lot, promptDigest), prompts);
      submitLot(world, { ...command, lot }, context.now());
    });
  };

  const requestLot = (trainer: Trainer): void => {
    startRequestTimeout(trainer, () => requestLot(trainer));
    sendLotRequest(trainer, trainer.daemon);
  };

  return {
    createPort: (context) => {
      contextByDaemon.set(context.daemon.name, context);
      const { world } = context.daemon.core;
      const fetchChanges = world.fetches.createChangeReader(RowReader.Port);
      const submissionChanges = world.submissions.createChangeReader(RowReader.Port);
      scheduleAction = context.scheduleAlways;
      return {
        drain: () => {
          submissionChanges.take().forEach((id) => {
            const row = world.submissions.get(id);
            if (row !== undefined) handleSubmissionChange(context, row);
          });
          fetchChanges.take().forEach((id) => {
            const row = world.fetches.get(id);
            if (row !== undefined) handleFetchChange(context, row);
          });
        },
      };
    },
    open: (entry, specification) => {
      const trainer: Trainer = {
        daemon: selectLedgerDaemon(entry),
        specification,
        lot: null,
        cursor: 0,
        trainerVersion: specification.trainerVersion,
        answersToDrop: 0,
        finishedAt: null,
        isEnded: false,
        refusal: null,
      };
      trainers.push(trainer);
      requestLot(trainer);
      return trainer;
    },
    resubmitLot: sendLotRequest,
    trainers: () => trainers,
    deliveries: () => deliveries,
    lateAnswers: () => lateAnswers,
  };
};
