/**
 * Facts about an attempt, reported by a port. They contain no text of prompts or answers.
 */
import type { AttemptId } from '../../world/common/identifiers.js';

export const AttemptFactKind = {
  /**
   * The attempt did not run: the connection failed, or the upstream refused it before running it.
   */
  NotRun: 'notRun',
  /** The upstream has sent the status and headers of its answer. */
  AnswerStarted: 'answerStarted',
  /** Tokens were received, all from one weight version and one incarnation of the engine. */
  TokensReceived: 'tokensCame',
  /** Bytes were received that are not counted as tokens. */
  Progress: 'progress',
  /** The upstream has reported its own token counts. */
  UsageReceived: 'usageCame',
  /** The answer is complete. */
  AnswerEnded: 'answerEnded',
  /** There is no usable answer after the first byte was written; the attempt may have run. */
  Broken: 'broken',
} as const;

/** Reasons of `notRun` that affect decisions; all other reasons are codes of connection errors. */
export const NotRunReason = {
  /** The upstream replied that it did not run the request. */
  Refused: 'refused by the upstream',
} as const;

export type AttemptFact =
  | {
      readonly kind: 'notRun';
      readonly attempt: AttemptId;
      readonly reason: string;
      /** Whether nothing listens at the address of the upstream. */
      readonly isConnectionRefused?: boolean;
    }
  | { readonly kind: 'answerStarted'; readonly attempt: AttemptId; readonly status: number }
  | {
      readonly kind: 'tokensCame';
      readonly attempt: AttemptId;
      readonly tokens: number;
      /** Null if the engine reported none. */
      readonly weightVersion: number | null;
      readonly incarnation: number;
    }
  | { readonly kind: 'progress'; readonly attempt: AttemptId }
  | {
      readonly kind: 'usageCame';
      readonly attempt: AttemptId;
      readonly promptTokens: number;
      readonly completionTokens: number;
    }
  | { readonly kind: 'answerEnded'; readonly attempt: AttemptId }
  | {
      readonly kind: 'broken';
      readonly attempt: AttemptId;
      readonly reason: string;
      /** Whether the upstream answered completely, and only the answer is unusable. */
      readonly hasAnswered?: boolean;
    };
