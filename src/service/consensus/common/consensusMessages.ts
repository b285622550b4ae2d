/**
 * Schemas of the messages that daemons exchange for the replicated log. An instant in a message is
 * a reading of the clock of one process that is echoed back to it; see the module `echoedInstant`.
 */
import * as z from 'zod';
import { echoedInstantSchema } from '../../world/common/echoedInstant.js';
import { commandSchema } from './command.js';
import { logEntrySchema } from './logEntry.js';
import { snapshotHeaderSchema, snapshotPartSchema } from './snapshot.js';
import { VoteRefusal } from './voteRefusal.js';

const term = z.number().int().nonnegative();
const index = z.number().int().nonnegative();

export const voteRequestedSchema = z.object({
  kind: z.literal('voteRequested'),
  /** Term for which the sender is a candidate. */
  term,
  /** Whether this is a pre-vote, which only asks whether the vote would be granted. */
  isPreVote: z.boolean(),
  lastIndex: index,
  lastTerm: term,
  /** What the candidate knows of the reason why there is no leader. For reports only. */
  leaderAbsence: z.string().nullable().optional(),
});

/** What a voter says of itself, for the reports of a candidate; no decision rests on it. */
export const voterStatementSchema = z.object({
  hasJoined: z.boolean(),
  lastIndex: index,
  /** Index up to which it knows that there are entries; null if it does not know. */
  reportedIndex: index.nullable(),
  /** Milliseconds for which it has not joined; null if it has, or keeps no record of it. */
  notJoinedMilliseconds: z.number().nonnegative().nullable(),
});
export type VoterStatement = z.infer<typeof voterStatementSchema>;

export const voteAnsweredSchema = z.object({
  kind: z.literal('voteAnswered'),
  /** The requested term if the vote is granted, otherwise the term of the sender. */
  term,
  isPreVote: z.boolean(),
  /** Why the vote is refused; null if it is granted. */
  refusal: z.enum(VoteRefusal).nullable(),
  /** Whether the vote counts only together with those of all voters; see the module `joining`. */
  isConditional: z.boolean(),
  /** Older voters do not send it. */
  statement: voterStatementSchema.optional(),
});

export const entriesAppendedSchema = z.object({
  kind: z.literal('entriesAppended'),
  term,
  previousIndex: index,
  previousTerm: term,
  entries: z.array(logEntrySchema),
  commitIndex: index,
  /** Time at which the message was sent, by the leader's clock. */
  renewal: echoedInstantSchema,
  /** `answeredAt` of the receiver's last answer if the leader's lease is valid, otherwise null. */
  currentAsOf: echoedInstantSchema.nullable(),
});

export const appendAnsweredSchema = z.object({
  kind: z.literal('appendAnswered'),
  term,
  accepted: z.boolean(),
  /** Whether the sender has not joined yet and may lack entries that it once acknowledged. */
  isNew: z.boolean(),
  /**
   * If accepted, index of the last entry that matches the leader's log. Otherwise, index of the
   * last entry that can match.
   */
  matchIndex: index,
  /** `renewal` of the message that it answers. */
  renewal: echoedInstantSchema,
  /** Time at which the answer was sent, by the sender's clock. */
  answeredAt: echoedInstantSchema,
});

export const proposalForwardedSchema = z.object({
  kind: z.literal('proposalForwarded'),
  proposal: z.string(),
  command: commandSchema,
});

const outcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('applied'), index }),
  z.object({
    kind: z.literal('rejected'),
    rejection: z.object({ kind: z.string(), message: z.string() }),
  }),
  z.object({ kind: z.literal('unknown') }),
]);

/**
 * Outcome of a proposal, for a proposer that may not receive the entry: sent when the leader
 * applies a command of the topic `voters`, and when a proposal is received whose outcome is already
 * stored.
 */
export const proposalAnsweredSchema = z.object({
  kind: z.literal('proposalAnswered'),
  proposal: z.string(),
  outcome: outcomeSchema,
});

export const followRequestedSchema = z.object({
  kind: z.literal('followRequested'),
  /** Index of the last entry that the learner has. */
  afterIndex: index,
  isRelay: z.boolean(),
  /** Time at which the request was sent, by the learner's clock. */
  askedAt: echoedInstantSchema,
});

export const entriesFollowedSchema = z.object({
  kind: z.literal('entriesFollowed'),
  term,
  leader: z.string().nullable(),
  afterIndex: index,
  /** Entries after `afterIndex` of the topics that the learner receives. */
  entries: z.array(logEntrySchema),
  /** Index of the last entry that this message covers, including entries that were filtered out. */
  throughIndex: index,
  /** Whether the learner must ask for more at once, because entries wait to be acknowledged. */
  isAcknowledgementDue: z.boolean(),
  /** `askedAt` of the learner's last request. */
  askedAt: echoedInstantSchema,
  /**
   * Milliseconds since the sender last knew that it held all committed entries. Null if it never
   * knew, or if the message does not reach the sender's last entry.
   */
  age: z.number().nonnegative().nullable(),
  /**
   * What the sender, or the voter from which it learned of it, knows of the reason why there is no
   * leader; null if there is one. For reports only.
   */
  leaderAbsence: z.string().nullable().default(null),
  /** Index up to which the sender holds all entries; older senders do not say. For reports only. */
  deliveredIndex: index.optional(),
});

/** The sender has a snapshot that stands for entries which the receiver lacks. */
export const snapshotOfferedSchema = z.object({
  kind: z.literal('snapshotOffered'),
  /** Index of the last entry that the snapshot stands for. */
  index,
});

/** Asks for parts of a snapshot. */
export const snapshotRequestedSchema = z.object({
  kind: z.literal('snapshotRequested'),
  index,
  /** Number of the first part to send, from 0. */
  part: z.number().int().nonnegative(),
  /** Whether the sender receives the rows of every topic. */
  isRelay: z.boolean(),
});

export const snapshotSentSchema = z.object({
  kind: z.literal('snapshotSent'),
  /** Term of the sender, at least the one in which the entries were committed. */
  term,
  header: snapshotHeaderSchema,
  /** Number of this part, from 0. */
  part: z.number().int().nonnegative(),
  /** Number of parts that the receiver is sent in all. */
  count: z.number().int().positive(),
  /** The part; null if the snapshot has no rows for the receiver. */
  content: snapshotPartSchema.nullable(),
});

/** Schema of all messages of the replicated log. */
export const consensusMessageSchema = z.discriminatedUnion('kind', [
  voteRequestedSchema,
  voteAnsweredSchema,
  entriesAppendedSchema,
  appendAnsweredSchema,
  proposalForwardedSchema,
  proposalAnsweredSchema,
  followRequestedSchema,
  entriesFollowedSchema,
  snapshotOfferedSchema,
  snapshotRequestedSchema,
  snapshotSentSchema,
]);

/** A message of the replicated log. */
export type ConsensusMessage = z.infer<typeof consensusMessageSchema>;
