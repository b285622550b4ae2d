/**
 * Processes the requests of samples as they change. An answer is stored if its spans account for
 * all of its tokens and are not stale; otherwise the sample is rerun and the tokens are counted as
 * wasted. Runs each tick.
 */
import { never, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { countWastedTokens } from '../../dispatch/common/endAttempt.js';
import { hasRequestEnded } from '../../traffic/common/endRequest.js';
import {
  RequestState,
  type AttemptRow,
  type RequestRow,
} from '../../traffic/common/trafficTables.js';
import type { World } from '../../world/common/world.js';
import { requestCopies } from './bodyCopies.js';
import { SwapPolicy } from './ledgerCommands.js';
import type { LotRow } from './ledgerRows.js';
import { scheduleRerun, textBodyIdOf } from './runs.js';
import { RunState, type SampleRunRow } from './runRows.js';
import { isStale } from './staleness.js';

type FaultCheck = (attempt: AttemptRow, lot: LotRow) => boolean;

const countTokens = (attempt: AttemptRow): number =>
  attempt.spans.reduce((sum, span) => sum + span.tokens, 0);

const hasSeveralVersions = (attempt: AttemptRow): boolean =>
  new Set(attempt.spans.map((span) => span.weightVersion)).size > 1;

/**
 * Checks that disqualify an answer, by reason; the first check that holds is the reported reason.
 */
const faultChecks: Readonly<Record<string, FaultCheck>> = {
  noWeightVersion: (attempt) => attempt.unversionedTokens > 0 || attempt.spans.length === 0,
  tokensDiffer: (attempt) => countTokens(attempt) !== attempt.completionTokens,
  swapped: (attempt, lot) => lot.swapPolicy === SwapPolicy.Restart && hasSeveralVersions(attempt),
  stale: (attempt, lot) => isStale(attempt.spans, lot),
};

/** Faults that the remaining output of a running attempt cannot remove. */
const permanentFaults = ['swapped', 'stale'] as const;

/**
 * Returns the permanent fault of a running attempt, or undefined if it can still become a sample.
 */
export const findPermanentFault = (attempt: AttemptRow, lot: LotRow): string | undefined =>
  attempt.spans.length === 0
    ? undefined
    : permanentFaults.find((fault) => faultChecks[fault]!(attempt, lot));

const findFault = (attempt: AttemptRow, lot: LotRow): string | undefined =>
  Object.keys(faultChecks).find((fault) => faultChecks[fault]!(attempt, lot));

const storeAnswer = (world: World, run: SampleRunRow, attempt: AttemptRow, now: Instant): void => {
  world.sampleRuns.change(run.id, {
    state: RunState.Storing,
    attempt: attempt.id,
    spans: attempt.spans,
  });
  requestCopies(world, textBodyIdOf(run.id, attempt.id), run.lot, now);
};

const handleAnswer = (world: World, run: SampleRunRow, request: RequestRow, now: Instant): void => {
  const attempt = world.attempts.where('request', request.id).at(-1);
  const lot = world.lots.get(run.lot);
  if (attempt === undefined || lot === undefined) return;
  const fault = findFault(attempt, lot);
  if (fault === undefined) {
    storeAnswer(world, run, attempt, now);
    return;
  }
  countWastedTokens(world, attempt, request);
  scheduleRerun(world, run, fault, now);
};

const handleRequestEnd = (
  world: World,
  run: SampleRunRow,
  request: RequestRow,
  now: Instant,
): void => {
  if (request.state === RequestState.Answered) handleAnswer(world, run, request, now);
  else scheduleRerun(world, run, request.refusal?.kind ?? request.state, now);
};

/**
 * Replaces the deadline of a caller's request with that of the lot, until which a sample may run.
 */
const extendDeadline = (world: World, run: SampleRunRow, request: RequestRow): void => {
  const requestDeadline = world.lotClocks.get(run.lot)?.lotDeadline ?? never;
  const isAdmitted = request.state === RequestState.Waiting;
  if (!isAdmitted || request.requestDeadline === requestDeadline) return;
  world.requests.change(request.id, { requestDeadline });
};

const processRequest = (world: World, request: RequestRow, now: Instant): void => {
  const run = world.sampleRuns.get(request.sample!);
  if (run?.request !== request.id || run.state !== RunState.Running) return;
  if (hasRequestEnded(request)) handleRequestEnd(world, run, request, now);
  else extendDeadline(world, run, request);
};

/** Creates the system that processes the requests of samples. */
export const createSampleSystem = (world: World): System => {
  const requestChanges = world.requests.createChangeReader();
  return {
    name: 'sample',
    run: (now) =>
      requestChanges.take().forEach((id) => {
        const request = world.requests.get(id);
        if (request !== undefined && request.sample !== null) processRequest(world, request, now);
      }),
  };
};
