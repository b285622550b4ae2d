/**
 * Tables of the daemons of the installation and of the upstreams that have announced themselves.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import type { ValueOf } from '../../../base/common/handlers.js';
import { never, type Instant } from '../../../base/common/time.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import type { WorkClass } from '../../configuration/common/tree.js';
import { UpstreamState, type Announcement } from '../../protocol/common/upstreamProtocol.js';
import type { AdvisedEntry, Member } from './membershipMessages.js';
import { poolIdOf } from '../../traffic/common/flowTables.js';
import type { DaemonId, ServiceName, UpstreamId } from '../../world/common/identifiers.js';

export const DaemonState = {
  /** Known by name; no heartbeat has been received yet. */
  Unknown: 'unknown',
  Alive: 'alive',
  /** No heartbeat has been received for longer than the settings allow. */
  Suspected: 'suspected',
  /** Its last heartbeat reported that it is leaving. */
  Leaving: 'leaving',
} as const;
export type DaemonState = ValueOf<typeof DaemonState>;

export interface DaemonRow {
  readonly id: DaemonId;
  /** Name of its VM, as used by operators; empty until it is reported. */
  readonly label: string;
  readonly zone: string;
  readonly region: string;
  readonly callerAddress: string;
  /** Address to which other daemons connect. */
  readonly peerAddress: string;
  readonly isControl: boolean;
  /** Whether it is a voter, according to its last heartbeat or to the settings. */
  readonly isVoter: boolean;
  readonly isEntry: boolean;
  readonly isSelf: boolean;
  readonly state: DaemonState;
  readonly incarnation: number;
  /** Number of requests that run or wait on it, according to its last heartbeat. */
  readonly load: number;
  /** Revision of the settings that it uses, according to its last heartbeat. */
  readonly revision: number;
  /** Whether its last heartbeat reported that its settings are up to date. */
  readonly isFresh: boolean;
  /** Whether this daemon exchanges heartbeats with it. */
  readonly isContact: boolean;
  /** Version of its lists that this daemon holds; 0 for none. */
  readonly appliedLists: number;
  /** Version of the lists of this daemon that it holds; null if it does not ask for them. */
  readonly heldLists: number | null;
  /** Time at which it becomes suspected unless a heartbeat is received. */
  readonly suspicionDeadline: Instant;
  /** Time at which the next heartbeat is sent to it. */
  readonly heartbeatDeadline: Instant;
}

const isHeartbeatPartner = ({ isSelf, isContact }: DaemonRow): boolean => !isSelf && isContact;

/** The only value of the index of contacts. */
export const contactGroup = 'contact';

/** Version of the lists that this daemon sends to the daemons that ask for them. */
export interface OwnListsRow {
  readonly id: Brand<'ownLists'>;
  readonly version: number;
}
export const ownListsId: OwnListsRow['id'] = asBrand('ownLists');

/** Announcement of an upstream, with its remaining time converted to a deadline. */
export interface UpstreamRow extends Omit<Announcement, 'upstream' | 'remaining' | 'service'> {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  /** Time at which the announcement expires. */
  readonly announcementDeadline: Instant;
  /** Number of attempts of this daemon that it currently runs. */
  readonly ownRunning: number;
  /** Estimated tokens of those attempts. */
  readonly ownTokens: number;
  /** Number of consecutive failed attempts. */
  readonly failures: number;
  /** Whether its circuit breaker is open, so that no attempts are sent until `breakerDeadline`. */
  readonly isBreakerOpen: boolean;
  readonly breakerDeadline: Instant;
  /** Number of bulk attempts included in `ownRunning`. */
  readonly ownBulkRunning: number;
  /** Highest value of `ownRunning` since its last announcement. */
  readonly ownPeakRunning: number;
  /**
   * Number of requests of other daemons that it ran at its last announcement: the reported requests
   * that exceed `ownPeakRunning`.
   */
  readonly othersRunning: number;
}

/**
 * One slot out of this many is reserved for prompt requests, so that they seldom wait for bulk
 * requests.
 */
const slotsPerReservedSlot = 8;

const reservedSlots = (row: UpstreamRow): number =>
  row.slots < 2 ? 0 : Math.ceil(row.slots / slotsPerReservedSlot);

const freeSlots = (row: UpstreamRow): number =>
  row.state === UpstreamState.Serving && !row.isBreakerOpen
    ? row.slots - row.ownRunning - row.othersRunning
    : 0;

/** Whether an upstream can take one more prompt request. */
export const hasFreeSlot = (row: UpstreamRow): boolean => freeSlots(row) > 0;

/**
 * Returns the number of bulk requests that this daemon can run on an upstream. It is at least 1, so
 * that bulk work always makes progress.
 */
const bulkSlotLimit = (row: UpstreamRow): number =>
  Math.max(1, row.slots - reservedSlots(row) - row.othersRunning);

/** Whether an upstream can take one more bulk request. */
export const hasFreeBulkSlot = (row: UpstreamRow): boolean =>
  hasFreeSlot(row) && row.ownBulkRunning < bulkSlotLimit(row);

/** Returns the pools of an upstream: one for its service, and one for each model and adapter. */
const poolsOfUpstream = (row: UpstreamRow): readonly string[] => [
  poolIdOf(row.service, null),
  ...[...row.models, ...row.adapters].map((model) => poolIdOf(row.service, model)),
];

/** Another entry daemon that this one advises to callers, as received from a control daemon. */
export interface AdvisedEntryRow extends Omit<AdvisedEntry, 'name'> {
  readonly id: DaemonId;
  /** Time until which it is advised unless it is received again. */
  readonly retentionDeadline: Instant;
}

/** A decoded announcement. */
export interface ReceivedAnnouncement {
  readonly announcement: Announcement;
  /** Whether it was received from the upstream itself and not from another daemon. */
  readonly isDirect: boolean;
}

export const createMembershipTables = () => ({
  daemons: createTable<DaemonRow, 'state' | 'contact', 'suspicion' | 'heartbeat'>({
    name: 'daemons',
    indices: {
      state: (row) => row.state,
      contact: (row) => (isHeartbeatPartner(row) ? contactGroup : undefined),
    },
    deadlines: {
      suspicion: (row) =>
        isHeartbeatPartner(row) && row.state !== DaemonState.Suspected
          ? row.suspicionDeadline
          : never,
      heartbeat: (row) => (isHeartbeatPartner(row) ? row.heartbeatDeadline : never),
    },
  }),
  upstreams: createTable<UpstreamRow, 'service', 'announcement' | 'breaker', WorkClass>({
    name: 'upstreams',
    indices: { service: (row) => row.service },
    deadlines: {
      announcement: (row) => row.announcementDeadline,
      breaker: (row) => row.breakerDeadline,
    },
    selections: {
      prompt: (row) => (hasFreeSlot(row) ? poolsOfUpstream(row) : undefined),
      bulk: (row) => (hasFreeBulkSlot(row) ? poolsOfUpstream(row) : undefined),
    },
  }),
  ownLists: createTable<OwnListsRow>({ name: 'ownLists', indices: {}, deadlines: {} }),
  advisedEntries: createTable<AdvisedEntryRow, never, 'retention'>({
    name: 'advisedEntries',
    indices: {},
    deadlines: { retention: (row) => row.retentionDeadline },
  }),
  /** Daemons named by settings that changed after the start. */
  namedDaemons: createRowQueue<Member>('namedDaemons', RowReader.System),
  arrivedAnnouncements: createRowQueue<ReceivedAnnouncement>(
    'arrivedAnnouncements',
    RowReader.System,
  ),
});
export type MembershipTables = ReturnType<typeof createMembershipTables>;
