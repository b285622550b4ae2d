/**
 * Reasons for which a voter refuses its vote. They are part of the answer to the candidate, so that
 * the log of a candidate that is not elected names them.
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
