/**
 * Internal tables of the replicated log, behind the interface in `consensusTables`: the replica of
 * this daemon, its entries, the voters, the learners that follow this daemon, and the queues to and
 * from storage.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import type { ValueOf } from '../../../base/common/handlers.js';
import { never, type ClockJump, type Instant } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { Message } from '../../messages/common/message.js';
import type { EchoedInstant } from '../../world/common/echoedInstant.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { Command } from './command.js';
import type { ProposalId, ProposalOutcome } from './consensusTables.js';
import type { DurableState, StorageWrite } from './durableState.js';
import type { LogEntry } from './logEntry.js';
import type { VoteAnswer } from './voteRefusal.js';

export const ReplicaState = {
  /** A voter whose storage has not been read yet. */
  Recovering: 'recovering',
  /** Receives committed entries and never votes. */
  Learner: 'learner',
  Follower: 'follower',
  /** Runs a pre-vote, without a new term. */
  PreCandidate: 'preCandidate',
  Candidate: 'candidate',
  Leader: 'leader',
  /** Its storage has failed; it does not participate until its daemon is restarted. */
  Failed: 'failed',
} as const;
export type ReplicaState = ValueOf<typeof ReplicaState>;

/** State of this daemon in the replicated log. */
export interface ReplicaRow {
  readonly id: Brand<'replica'>;
  readonly state: ReplicaState;
  readonly term: number;
  readonly votedFor: DaemonId | null;
  /** Whether it holds every entry that it has acknowledged; see the module `joining`. */
  readonly hasJoined: boolean;
  readonly leader: DaemonId | null;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Index up to which entries are stored on a majority of the voters. */
  readonly commitIndex: number;
  /** Index up to which entries have been delivered to the apply system. */
  readonly deliveredIndex: number;
  /** Index up to which entries have been removed from the log, because a snapshot stands for them. */
  readonly compactedIndex: number;
  /** Size of the entries that were delivered since the snapshot was taken. */
  readonly bytesSinceSnapshot: number;
  /** Sequence number of the last requested write. */
  readonly requestedSequence: number;
  /** Sequence number of the last requested write on which messages rest: one that is not optional. */
  readonly requiredSequence: number;
  /** Sequence number up to which writes are synced. */
  readonly syncedSequence: number;
  /** Time at which a voter requests votes, or a leader steps down. */
  readonly electionDeadline: Instant;
  /** Time until which it refuses to vote, because it has received a message from a leader. */
  readonly voteRefusalDeadline: Instant;
  /** Leader whose lease is the reason for refusing votes; null if it is not known. */
  readonly voteRefusalLeader: DaemonId | null;
  /** Last term in which this daemon led and has stopped leading; 0 for none. */
  readonly endedTerm: number;
  readonly leaseDeadline: Instant;
  /** Time from which this leader can send orders; `never` for other states. */
  readonly orderDeadline: Instant;
  /** Index of the `votersSet` entry that defines the current voters; 0 for the initial voters. */
  readonly votersIndex: number;
  /** Index of its `leadershipTaken` entry; 0 if it is not the leader. */
  readonly leadershipIndex: number;
  /** Last time, by its own clock, at which it was known to have delivered all committed entries. */
  readonly currentAsOf: Instant;
  /** Last time at which its leader or the daemon that it follows sent entries, or that there are none. */
  readonly heardAt: Instant;
  /** What the daemon that a learner follows, or a candidate, has told it on why there is no leader. */
  readonly leaderAbsence: string | null;
  /** Time at which a learner sends its next request for entries. */
  readonly followDeadline: Instant;
  /** Daemon that a learner follows. */
  readonly relay: DaemonId | null;
  /** Time at which a learner selects another daemon to follow. */
  readonly relayDeadline: Instant;
}

/**
 * Whether a replica is the leader with a valid lease and has delivered the entries of earlier
 * terms, so that no entry can have been committed that it does not hold.
 */
export const isCurrentLeader = (replica: ReplicaRow, now: Instant): boolean =>
  replica.state === ReplicaState.Leader &&
  now < replica.leaseDeadline &&
  replica.deliveredIndex >= replica.leadershipIndex;

export const replicaId: Brand<'replica'> = asBrand('replica');

export type EntryId = Brand<'logEntry'>;
export interface LogEntryRow extends LogEntry {
  readonly id: EntryId;
  /** Upper bound of the bytes that the entry takes in a message. */
  readonly encodedBytes: number;
}

/** Returns the identifier of the entry at an index. */
export const entryIdOf = (index: number): EntryId => asBrand(String(index));

/** The vote of a voter for this daemon in its current pre-vote or election. */
export const GrantedVote = {
  None: 'none',
  /** It counts only if all voters grant theirs; see the module `joining`. */
  Conditional: 'conditional',
  /** It counts towards a quorum. */
  Full: 'full',
} as const;
export type GrantedVote = ValueOf<typeof GrantedVote>;

/** A voter, with the replication progress that the leader tracks. */
export interface MemberRow {
  readonly id: DaemonId;
  readonly isSelf: boolean;
  readonly grantedVote: GrantedVote;
  /** Its last answer to this daemon as a candidate; kept over elections, for reports only. */
  readonly voteAnswer: VoteAnswer;
  readonly voteAnsweredAt: Instant;
  /** Time at which this daemon last requested its vote. */
  readonly voteRequestedAt: Instant;
  readonly nextIndex: number;
  readonly matchIndex: number;
  /** Index from which sent entries count as unacknowledged. */
  readonly acknowledgedIndex: number;
  /** Size of the entries that were sent to this member and not acknowledged. */
  readonly unacknowledgedBytes: number;
  /** Time at which the member is reported as behind; `never` while it lacks no entries. */
  readonly catchUpDeadline: Instant;
  /**
   * Time at which the leader sent the last renewal that this member answered, by the leader's
   * clock.
   */
  readonly renewedAt: Instant;
  /** Time at which this member sent its last answer, by its own clock; echoed back to it. */
  readonly answeredAt: EchoedInstant | null;
  readonly renewalDeadline: Instant;
  /** Commit index that was last sent to this member. */
  readonly sentCommitIndex: number;
}

/** Columns of a member to which no entries are under way. */
export const unsentColumns = { unacknowledgedBytes: 0, catchUpDeadline: never } as const;

/** A learner that follows this daemon. */
export interface FollowingLearnerRow {
  readonly id: DaemonId;
  /** Whether it receives entries of every topic, in order to relay them. */
  readonly isRelay: boolean;
  readonly sentIndex: number;
  readonly acknowledgedIndex: number;
  /** Size of the entries that were sent to it and not acknowledged. */
  readonly unacknowledgedBytes: number;
  /** Time from which sent entries count as lost, unless it acknowledges some before. */
  readonly resendDeadline: Instant;
  /** Time at which it sent its last request, by its own clock; echoed back to it. */
  readonly askedAt: EchoedInstant;
  readonly silenceDeadline: Instant;
}

/** A requested write that is not synced yet. */
export interface PendingWriteRow {
  readonly id: Brand<'pendingWrite'>;
  readonly sequence: number;
  /** Index of the first entry that it writes, or null if it writes none. */
  readonly firstIndex: number | null;
}

/** A message that must not be sent until a write is synced. */
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
  /** Whether it was submitted, so that it can be in the log of some daemon. */
  readonly hasBeenSent: boolean;
}

/** Outcome in the replicated state; prevents a resent proposal from being applied twice. */
export interface RememberedOutcomeRow {
  readonly id: ProposalId;
  readonly index: number;
  readonly outcome: ProposalOutcome;
}

/** Request to storage. Writes are executed in the order of their sequence numbers. */
export interface StorageRequest {
  readonly sequence: number;
  readonly write: StorageWrite;
}

/** Reason why storage cannot continue. */
export interface StorageFailure {
  readonly kind: string;
  /** Description of the error that includes the remedy. */
  readonly message: string;
}

/** Report from storage: recovered state, completed sync or failure. */
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
  members: createTable<MemberRow, never, 'renewal' | 'catchUp'>({
    name: 'members',
    indices: {},
    deadlines: {
      renewal: (row) => row.renewalDeadline,
      catchUp: (row) => row.catchUpDeadline,
    },
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
  clockJumps: createRowQueue<ClockJump>('clockJumps', RowReader.System),
});
