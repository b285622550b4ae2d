/**
 * The tables behind the border of the replicated log: the replica of this daemon, its entries, the other
 * members, the learners that follow this daemon, and the queues to and from storage.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import type { ValueOf } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { Message } from '../../messages/common/message.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { Command } from './command.js';
import type { ProposalId, ProposalOutcome } from './consensusTables.js';
import type { DurableState, StorageWrite } from './durableState.js';
import type { LogEntry } from './logEntry.js';

export const ReplicaState = {
  /** A voter whose storage has not been read yet. */
  Recovering: 'recovering',
  /** Follows committed entries and never votes. */
  Learner: 'learner',
  Follower: 'follower',
  /** Asks whether it would be elected, without a new term. */
  PreCandidate: 'preCandidate',
  Candidate: 'candidate',
  Leader: 'leader',
  /** Its storage has failed; it takes no part until it is started again. */
  Failed: 'failed',
} as const;
export type ReplicaState = ValueOf<typeof ReplicaState>;

/** The part of this daemon in the replicated log. */
export interface ReplicaRow {
  readonly id: Brand<'replica'>;
  readonly state: ReplicaState;
  readonly term: number;
  readonly votedFor: DaemonId | null;
  /** Whether it may vote for those who have joined; see the module `joining`. */
  readonly hasJoined: boolean;
  readonly leader: DaemonId | null;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Entries up to this one are on a majority of the voters. */
  readonly commitIndex: number;
  /** Entries up to this one have been handed to the apply system. */
  readonly deliveredIndex: number;
  /** Number of the last write that was asked for. */
  readonly requestedSequence: number;
  /** Writes up to this number are synced. */
  readonly syncedSequence: number;
  /** A voter asks for votes; a leader steps down. */
  readonly electionDeadline: Instant;
  /** Until when it refuses to vote, as a leader has been heard of. */
  readonly voteRefusalDeadline: Instant;
  /** The leader for whose lease it refuses to vote; null where that is not known. */
  readonly voteRefusalLeader: DaemonId | null;
  /** The last term in which this daemon has led and does not lead any more; 0 for none. */
  readonly endedTerm: number;
  readonly leaseDeadline: Instant;
  /** From when on this leader may give orders; `never` for others. */
  readonly orderDeadline: Instant;
  /** Index of the change by which the present voters vote; 0 for the first voters. */
  readonly votersIndex: number;
  /** Index of its `leadershipTaken` entry; 0 for others than the leader. */
  readonly leadershipIndex: number;
  /** The last instant, by the own clock, for which the delivered entries were all that was accepted. */
  readonly currentAsOf: Instant;
  /** When a learner asks again. */
  readonly followDeadline: Instant;
  /** The daemon that a learner follows. */
  readonly relay: DaemonId | null;
  /** When a learner chooses another daemon to follow. */
  readonly relayDeadline: Instant;
}

/** Whether a replica leads and knows at this instant that nothing was accepted without it. */
export const isCurrentLeader = (replica: ReplicaRow, now: Instant): boolean =>
  replica.state === ReplicaState.Leader &&
  now < replica.leaseDeadline &&
  replica.deliveredIndex >= replica.leadershipIndex;

export const replicaId: Brand<'replica'> = asBrand('replica');

export type EntryId = Brand<'logEntry'>;
export interface LogEntryRow extends LogEntry {
  readonly id: EntryId;
}

/** The identifier of the entry at an index. */
export const entryIdOf = (index: number): EntryId => asBrand(String(index));

/** A voter as this daemon knows it. */
export interface MemberRow {
  readonly id: DaemonId;
  readonly isSelf: boolean;
  readonly hasGrantedVote: boolean;
  readonly nextIndex: number;
  readonly matchIndex: number;
  /** When the leader sent the last renewal that this member has answered, by the leader's clock. */
  readonly renewedAt: Instant;
  /** When this member sent its last answer, by its own clock; sent back to it. */
  readonly answeredAt: Instant;
  readonly renewalDeadline: Instant;
  /** The commit index that this member was last told of. */
  readonly sentCommitIndex: number;
}

/** A learner that follows this daemon. */
export interface FollowingLearnerRow {
  readonly id: DaemonId;
  /** Whether it wants every entry, to relay them. */
  readonly isRelay: boolean;
  readonly sentIndex: number;
  readonly acknowledgedIndex: number;
  /** When it sent its last request, by its own clock; sent back to it. */
  readonly askedAt: Instant;
  readonly silenceDeadline: Instant;
}

/** A write that has been asked for and is not synced. */
export interface PendingWriteRow {
  readonly id: Brand<'pendingWrite'>;
  readonly sequence: number;
  /** The first entry that it writes, or null where it writes none. */
  readonly firstIndex: number | null;
}

/** A message that may go only once a write is synced. */
export interface HeldMessageRow {
  readonly id: Brand<'heldMessage'>;
  readonly sequence: number;
  readonly to: DaemonId;
  readonly message: Message;
}

/** A proposal of this daemon that has no outcome yet. */
export interface PendingProposalRow {
  readonly id: ProposalId;
  readonly command: Command;
  readonly proposalDeadline: Instant;
  readonly sendDeadline: Instant;
  /** Whether it may be in the log of any daemon. */
  readonly hasBeenSent: boolean;
}

/** An outcome in the agreed state, by which a proposal that comes again is not applied again. */
export interface RememberedOutcomeRow {
  readonly id: ProposalId;
  readonly index: number;
  readonly outcome: ProposalOutcome;
}

/** What storage is asked to do; writes are carried out in the order of their numbers. */
export interface StorageRequest {
  readonly sequence: number;
  readonly write: StorageWrite;
}

/** Why storage cannot go on. */
export interface StorageFailure {
  readonly kind: string;
  /** Names the remedy. */
  readonly message: string;
}

/** What storage reports. */
export type StorageFact =
  | { readonly kind: 'recovered'; readonly state: DurableState }
  | { readonly kind: 'synced'; readonly sequence: number }
  | { readonly kind: 'failed'; readonly failure: StorageFailure };

export const createReplicaTables = () => ({
  replica: createTable<ReplicaRow, never, 'election' | 'order' | 'follow'>({
    name: 'replica',
    indices: {},
    deadlines: {
      election: (row) => row.electionDeadline,
      order: (row) => row.orderDeadline,
      follow: (row) => row.followDeadline,
    },
  }),
  logEntries: createTable<LogEntryRow, 'proposal'>({
    name: 'logEntries',
    indices: { proposal: (row) => row.proposal },
    deadlines: {},
  }),
  members: createTable<MemberRow, never, 'renewal'>({
    name: 'members',
    indices: {},
    deadlines: { renewal: (row) => row.renewalDeadline },
  }),
  followingLearners: createTable<FollowingLearnerRow, never, 'silence'>({
    name: 'followingLearners',
    indices: {},
    deadlines: { silence: (row) => row.silenceDeadline },
  }),
  pendingWrites: createTable<PendingWriteRow>({
    name: 'pendingWrites',
    indices: {},
    deadlines: {},
  }),
  heldMessages: createTable<HeldMessageRow>({ name: 'heldMessages', indices: {}, deadlines: {} }),
  pendingProposals: createTable<PendingProposalRow, never, 'send' | 'proposal'>({
    name: 'pendingProposals',
    indices: {},
    deadlines: {
      send: (row) => row.sendDeadline,
      proposal: (row) => row.proposalDeadline,
    },
  }),
  rememberedOutcomes: createTable<RememberedOutcomeRow>({
    name: 'rememberedOutcomes',
    indices: {},
    deadlines: {},
  }),
  storageRequests: createRowQueue<StorageRequest>('storageRequests', RowReader.Port),
  storageFacts: createRowQueue<StorageFact>('storageFacts', RowReader.System),
});
