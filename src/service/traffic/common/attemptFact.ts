/**
 * What a port reports of an attempt: facts only, no bytes of prompts or answers.
 */
import type { AttemptId } from '../../world/common/identifiers.js';

export const AttemptFactKind = {
  /** The connection could not be made, or the upstream refused before running: it did not run. */
  NotRun: 'notRun',
  /** The upstream has sent the head of its answer. */
  AnswerStarted: 'answerStarted',
  /** Tokens have come, all from one weight version and one start of the engine. */
  TokensReceived: 'tokensCame',
  /** Bytes have come that are not counted as tokens. */
  Progress: 'progress',
  /** The upstream has given its own count of the tokens. */
  UsageReceived: 'usageCame',
  /** The answer has come whole. */
  AnswerEnded: 'answerEnded',
  /** The connection broke after the first byte was written; it may have run. */
  Broken: 'broken',
} as const;

/** Reasons of `notRun` that a decision depends on; others are codes of failed connections. */
export const NotRunReason = {
  /** The upstream answered that it did not run the request. */
  Refused: 'refused by the upstream',
} as const;

export type AttemptFact =
  | { readonly kind: 'notRun'; readonly attempt: AttemptId; readonly reason: string }
  | { readonly kind: 'answerStarted'; readonly attempt: AttemptId; readonly status: number }
  | {
      readonly kind: 'tokensCame';
      readonly attempt: AttemptId;
      readonly tokens: number;
      /** Null where the engine named none. */
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
  | { readonly kind: 'broken'; readonly attempt: AttemptId; readonly reason: string };
