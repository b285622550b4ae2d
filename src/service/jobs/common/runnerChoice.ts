/**
 * Chooses the runner of a job with home regions, and decides when another one may replace it. Both
 * decide from rows and figures.
 */
import {
  deadlineAfter,
  never,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import { DaemonState, type DaemonRow } from '../../membership/common/membershipTables.js';

/**
 * Time after which the leader replaces a runner that it no longer hears from. The runner has stopped
 * by then, because its log state is older than `runnerCurrencyMilliseconds`; the rest is a margin
 * for messages under way and for clocks.
 */
export const runnerLossMilliseconds: Milliseconds = 4_000;

/** What is known of a runner when the leader decides whether to replace it. */
export interface RunnerSituation {
  /** The row of the runner; undefined if this daemon does not know it. */
  readonly daemon: DaemonRow | undefined;
  /** Whether it is a holder of the job in its home regions. */
  readonly isSuitable: boolean;
  /** Time since which this daemon leads; a runner may have followed an earlier leader until then. */
  readonly ledSince: Instant;
  /** Latest time at which it can have sent what confirms its log state, by the leader's clock. */
  readonly confirmedUntil: Instant;
}

type ReplacementRule = (situation: RunnerSituation) => Instant;

const replaceWhenUnsuitable: ReplacementRule = ({ isSuitable, ledSince }) =>
  isSuitable ? never : ledSince;

const replaceAfterSilence: ReplacementRule = ({ ledSince, confirmedUntil }) =>
  deadlineAfter(Math.max(confirmedUntil, ledSince), runnerLossMilliseconds);

const replacementRules: Readonly<Record<DaemonState, ReplacementRule>> = {
  // It becomes alive or suspected within the suspicion time.
  [DaemonState.Unknown]: () => never,
  [DaemonState.Alive]: replaceWhenUnsuitable,
  [DaemonState.Suspected]: replaceAfterSilence,
  // It has stopped its runs before it announced that it is leaving.
  [DaemonState.Leaving]: ({ ledSince }) => ledSince,
};

/** Returns the time from which another runner may be appointed; `never` while it is to stay. */
export const computeReplacementTime = (situation: RunnerSituation): Instant => {
  const { daemon, ledSince } = situation;
  return daemon === undefined
    ? deadlineAfter(ledSince, runnerLossMilliseconds)
    : replacementRules[daemon.state](situation);
};

/** A daemon that can become the runner of a job. */
export interface RunnerCandidate {
  readonly id: string;
  readonly isLeader: boolean;
  /** Number of open jobs with home regions that it runs. */
  readonly jobs: number;
}

/**
 * Returns the candidate to appoint: rather another daemon than the leader, which runs the other
 * jobs, and the one that runs the fewest jobs.
 */
export const chooseRunner = (candidates: readonly RunnerCandidate[]): string | undefined =>
  [...candidates].sort(
    (first, second) => Number(first.isLeader) - Number(second.isLeader) || first.jobs - second.jobs,
  )[0]?.id;
