/**
 * Follows the requests of samples. An answer is stored where its spans account for all of its tokens and
 * are young enough; otherwise the sample is run again and the tokens are counted as waste.
 */
import { never, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { countWaste } from '../../dispatch/common/endAttempt.js';
import { hasEnded } from '../../traffic/common/endRequest.js';
import {
  RequestState,
  type AttemptRow,
  type RequestRow,
} from '../../traffic/common/trafficTables.js';
import type { World } from '../../world/common/world.js';
import { wantCopies } from './bodyCopies.js';
import { SwapPolicy } from './ledgerCommands.js';
import type { LotRow } from './ledgerRows.js';
import { repeatRun, textBodyOf } from './runs.js';
import { RunState, type SampleRunRow } from './runRows.js';
import { isStale } from './staleness.js';

type Check = (attempt: AttemptRow, lot: LotRow) => boolean;

const tokensOf = (attempt: AttemptRow): number =>
  attempt.spans.reduce((sum, span) => sum + span.tokens, 0);

const hasSeveralVersions = (attempt: AttemptRow): boolean =>
  new Set(attempt.spans.map((span) => span.weightVersion)).size > 1;

/** Why an answer can't be a sample: the first check that holds is the reason. */
const faults: Readonly<Record<string, Check>> = {
  noWeightVersion: (attempt) => attempt.unnamedTokens > 0 || attempt.spans.length === 0,
  tokensDiffer: (attempt) => tokensOf(attempt) !== attempt.completionTokens,
  swapped: (attempt, lot) => lot.swapPolicy === SwapPolicy.Restart && hasSeveralVersions(attempt),
  stale: (attempt, lot) => isStale(attempt.spans, lot),
};

/** Faults that cannot be mended by what an attempt has still to give. */
const lastingFaults = ['swapped', 'stale'] as const;

/** Why an attempt that still runs cannot become a sample, or undefined. */
export const findLastingFault = (attempt: AttemptRow, lot: LotRow): string | undefined =>
  attempt.spans.length === 0
    ? undefined
    : lastingFaults.find((fault) => faults[fault]!(attempt, lot));

const findFault = (attempt: AttemptRow, lot: LotRow): string | undefined =>
  Object.keys(faults).find((fault) => faults[fault]!(attempt, lot));

const store = (world: World, run: SampleRunRow, attempt: AttemptRow, now: Instant): void => {
  world.sampleRuns.change(run.id, {
    state: RunState.Storing,
    attempt: attempt.id,
    spans: attempt.spans,
  });
  wantCopies(world, textBodyOf(run.id, attempt.id), run.lot, now);
};

const takeAnswer = (world: World, run: SampleRunRow, request: RequestRow, now: Instant): void => {
  const attempt = world.attempts.where('request', request.id).at(-1);
  const lot = world.lots.get(run.lot);
  if (attempt === undefined || lot === undefined) return;
  const fault = findFault(attempt, lot);
  if (fault === undefined) {
    store(world, run, attempt, now);
    return;
  }
  countWaste(world, attempt, request);
  repeatRun(world, run, fault, now);
};

const takeEnd = (world: World, run: SampleRunRow, request: RequestRow, now: Instant): void => {
  if (request.state === RequestState.Answered) takeAnswer(world, run, request, now);
  else repeatRun(world, run, request.refusal?.kind ?? request.state, now);
};

/** A sample may take until the deadline of its lot, whatever the limit of a caller's request is. */
const extendDeadline = (world: World, run: SampleRunRow, request: RequestRow): void => {
  const requestDeadline = world.lotClocks.get(run.lot)?.lotDeadline ?? never;
  const isAdmitted = request.state === RequestState.Waiting;
  if (!isAdmitted || request.requestDeadline === requestDeadline) return;
  world.requests.change(request.id, { requestDeadline });
};

const follow = (world: World, request: RequestRow, now: Instant): void => {
  const run = world.sampleRuns.get(request.sample!);
  if (run?.request !== request.id || run.state !== RunState.Running) return;
  if (hasEnded(request)) takeEnd(world, run, request, now);
  else extendDeadline(world, run, request);
};

/** Creates the system that follows the requests of samples. */
export const createSampleSystem = (world: World): System => {
  const changes = world.requests.createChangeReader();
  return {
    name: 'sample',
    run: (now) =>
      changes.take().forEach((id) => {
        const request = world.requests.get(id);
        if (request !== undefined && request.sample !== null) follow(world, request, now);
      }),
  };
};
