/**
 * What daemons send each other to agree. Instants in these messages are readings of one daemon's clock
 * that come back to the same daemon; no other daemon compares them with its own clock.
 */
import { z } from 'zod';
import { commandSchema } from './command.js';
import { logEntrySchema } from './logEntry.js';

const term = z.number().int().nonnegative();
const index = z.number().int().nonnegative();

export const voteRequestedSchema = z.object({
  kind: z.literal('voteRequested'),
  /** The term in which the sender wants to lead. */
  term,
  /** Asks without any effect whether the vote would be given. */
  isPreVote: z.boolean(),
  /** Whether the sender has not joined yet. */
  isNew: z.boolean(),
  lastIndex: index,
  lastTerm: term,
});

export const voteAnsweredSchema = z.object({
  kind: z.literal('voteAnswered'),
  /** The term that was asked for where granted, otherwise that of the sender. */
  term,
  isPreVote: z.boolean(),
  granted: z.boolean(),
});

export const entriesAppendedSchema = z.object({
  kind: z.literal('entriesAppended'),
  term,
  previousIndex: index,
  previousTerm: term,
  entries: z.array(logEntrySchema),
  commitIndex: index,
  /** When this was sent, by the clock of the leader. */
  renewal: z.number(),
  /** `answeredAt` of the receiver's last answer while the lease holds, otherwise null. */
  currentAsOf: z.number().nullable(),
});

export const appendAnsweredSchema = z.object({
  kind: z.literal('appendAnswered'),
  term,
  accepted: z.boolean(),
  /** Whether the sender has not joined yet, and may have less than it once acknowledged. */
  isNew: z.boolean(),
  /** The last entry that agrees with the leader, or where not accepted the last that may agree. */
  matchIndex: index,
  renewal: z.number(),
  /** When this was sent, by the clock of the sender. */
  answeredAt: z.number(),
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

/** Sent where a proposal comes again whose outcome is remembered. */
export const proposalAnsweredSchema = z.object({
  kind: z.literal('proposalAnswered'),
  proposal: z.string(),
  outcome: outcomeSchema,
});

export const followRequestedSchema = z.object({
  kind: z.literal('followRequested'),
  /** The last entry that the learner has. */
  afterIndex: index,
  isRelay: z.boolean(),
  /** When this was sent, by the clock of the learner. */
  askedAt: z.number(),
});

export const entriesFollowedSchema = z.object({
  kind: z.literal('entriesFollowed'),
  term,
  leader: z.string().nullable(),
  afterIndex: index,
  /** Entries of the topics that the learner follows, out of those after `afterIndex`. */
  entries: z.array(logEntrySchema),
  /** The last entry that was looked at. */
  throughIndex: index,
  /** `askedAt` of the learner's last request. */
  askedAt: z.number(),
  /** For how long the sender has not known whether its entries are all; null where it never knew. */
  age: z.number().nullable(),
});

/** Every message of the replicated log. */
export const consensusMessageSchema = z.discriminatedUnion('kind', [
  voteRequestedSchema,
  voteAnsweredSchema,
  entriesAppendedSchema,
  appendAnsweredSchema,
  proposalForwardedSchema,
  proposalAnsweredSchema,
  followRequestedSchema,
  entriesFollowedSchema,
]);

/** A message of the replicated log. */
export type ConsensusMessage = z.infer<typeof consensusMessageSchema>;
