/**
 * Applies the facts that ports report about attempts. A fact about an attempt that has already
 * ended is counted and otherwise ignored, so that late or misdirected answers never reach a
 * caller.
 */
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import { NotRunReason, type AttemptFact } from '../../traffic/common/attemptFact.js';
import { recordAnsweredRun } from '../../quarantine/common/crashRecords.js';
import { fingerprintOf } from '../../quarantine/common/fingerprint.js';
import { AddressState, SuspicionCause } from '../../quarantine/common/quarantineTables.js';
import { suspectRun } from '../../quarantine/common/suspicions.js';
import { answerRequest } from '../../traffic/common/endRequest.js';
import { RefusalKind } from '../../traffic/common/refusal.js';
import {
  AttemptState,
  type AttemptRow,
  type RequestRow,
} from '../../traffic/common/trafficTables.js';
import { addUsage } from '../../usage/common/usageTables.js';
import type { World } from '../../world/common/world.js';
import { recordUpstreamFailure, recordUpstreamSuccess, markUpstreamFull } from './breaker.js';
import { countWastedTokens, endAttempt, retryOrEnd } from './endAttempt.js';
import { appendSpan } from './versionSpans.js';

/** The stored deadline is extended only in steps of at least this size, to keep chunks cheap. */
const progressStepMilliseconds = 250;

const extendProgressDeadline = (
  world: World,
  attempt: AttemptRow,
  request: RequestRow,
  now: Instant,
): void => {
  const progressDeadline = deadlineAfter(now, request.policy!.progressMilliseconds);
  if (progressDeadline - attempt.progressDeadline < progressStepMilliseconds) return;
  world.attempts.change(attempt.id, { progressDeadline });
};

const countUsage = (world: World, attempt: AttemptRow, request: RequestRow): void => {
  if (request.workspace === null) return;
  addUsage(world, request.workspace, {
    promptTokens: attempt.promptTokens,
    completionTokens: attempt.completionTokens,
    requests: 1,
    wastedTokens: 0,
  });
};

/** Suspects a request of having ended the upstream that ran it; internal requests never. */
const suspectAttempt = (
  world: World,
  { upstream, process }: AttemptRow,
  request: RequestRow,
  reason: string,
  now: Instant,
): RequestRow => {
  const fingerprint = fingerprintOf(request.workspace, request.digest);
  if (fingerprint === null) return request;
  const run = { fingerprint, request: request.id, process, cause: SuspicionCause.Broken, reason };
  suspectRun(world, run, now);
  const brokenUpstreams = [...new Set([...request.brokenUpstreams, upstream])];
  return world.requests.change(request.id, { brokenUpstreams }) ?? request;
};

const attemptFactHandlers: HandlerTable<
  AttemptFact,
  void,
  [World, AttemptRow, RequestRow, Instant]
> = {
  notRun: (fact, world, attempt, request, now) => {
    if (fact.isConnectionRefused === true)
      world.addressFacts.append({ address: attempt.process.address, state: AddressState.Refusing });
    endAttempt(world, attempt, fact.kind);
    const detail = `The upstream did not run the request (${fact.reason}).`;
    const failure = { kind: RefusalKind.QueueDeadlinePassed, detail, mayHaveRun: false };
    if (fact.reason === NotRunReason.Refused) markUpstreamFull(world, attempt.upstream);
    else recordUpstreamFailure(world, attempt.upstream, now);
    retryOrEnd(world, request, failure, now);
  },
  answerStarted: (_, world, attempt, request, now) => {
    world.attempts.change(attempt.id, { state: AttemptState.Answering });
    world.requests.change(request.id, { answerStarted: true, mayHaveRun: true });
    extendProgressDeadline(world, attempt, request, now);
  },
  tokensCame: (fact, world, attempt, request, now) => {
    const { tokens, weightVersion, incarnation } = fact;
    const hasWeightVersion = weightVersion !== null;
    world.attempts.change(attempt.id, {
      completionTokens: attempt.completionTokens + tokens,
      unversionedTokens: attempt.unversionedTokens + (hasWeightVersion ? 0 : tokens),
      spans: hasWeightVersion
        ? appendSpan(attempt.spans, { weightVersion, incarnation, tokens })
        : attempt.spans,
    });
    extendProgressDeadline(world, attempt, request, now);
  },
  progress: (_, world, attempt, request, now) =>
    extendProgressDeadline(world, attempt, request, now),
  usageCame: (fact, world, attempt) => {
    const { promptTokens, completionTokens } = fact;
    world.attempts.change(attempt.id, { promptTokens, completionTokens });
  },
  answerEnded: (fact, world, attempt, request, now) => {
    endAttempt(world, attempt, fact.kind);
    recordUpstreamSuccess(world, attempt.upstream);
    countUsage(world, attempt, request);
    recordAnsweredRun(world, fingerprintOf(request.workspace, request.digest), now);
    answerRequest(world, request, now);
  },
  broken: (fact, world, attempt, request, now) => {
    endAttempt(world, attempt, fact.kind);
    countWastedTokens(world, attempt, request);
    recordUpstreamFailure(world, attempt.upstream, now);
    const detail = `The connection to the upstream broke (${fact.reason}).`;
    const updatedRequest =
      fact.hasAnswered === true
        ? request
        : suspectAttempt(world, attempt, request, fact.reason, now);
    retryOrEnd(
      world,
      updatedRequest,
      { kind: RefusalKind.UpstreamFailed, detail, mayHaveRun: true },
      now,
    );
  },
};

const recordLateFact = (world: World, fact: AttemptFact): void => {
  world.metrics.count('attempts.lateFacts', 1, { fact: fact.kind });
  world.events.append({
    kind: EventKind.LateFact,
    subject: { attempt: fact.attempt, fact: fact.kind },
  });
};

const handleAttemptFact = (world: World, fact: AttemptFact, now: Instant): void => {
  const attempt = world.attempts.get(fact.attempt);
  const request = attempt === undefined ? undefined : world.requests.get(attempt.request);
  const isLate = attempt === undefined || attempt.state === AttemptState.Ended;
  if (isLate || request === undefined) {
    recordLateFact(world, fact);
    return;
  }
  dispatchByKind(attemptFactHandlers, fact, world, attempt, request, now);
};

/** Creates the system that applies the facts about attempts. */
export const createAttemptFactSystem = (world: World): System => ({
  name: 'attemptFact',
  run: (now) => world.attemptFacts.takeAll().forEach((fact) => handleAttemptFact(world, fact, now)),
});
