/**
 * Answers of voters to a candidate, and the reasons for which they refuse their votes. A reason is
 * part of the answer, so that the log of a candidate that is not elected names it.
 */
import type { ValueOf } from '../../../base/common/handlers.js';

/** Reason for refusing a vote. */
export const VoteRefusal = {
  /** The lease of this voter, or of the last leader that contacted it, may still be valid. */
  HasActiveLeader: 'keepsToLeader',
  LogBehind: 'logBehind',
  StaleTerm: 'termPassed',
  VotedForAnother: 'votedForAnother',
} as const;
export type VoteRefusal = ValueOf<typeof VoteRefusal>;

/** What is known of the answer of a voter to the last requests for its vote. */
export const VoteAnswer = {
  NotAsked: 'notAsked',
  None: 'noAnswer',
  Granted: 'granted',
  /** Granted, and it counts only together with those of all voters. */
  Conditional: 'conditional',
  ...VoteRefusal,
} as const;
export type VoteAnswer = ValueOf<typeof VoteAnswer>;
