/**
 * Who is there: the daemons of the installation and the upstreams that have announced themselves.
 */
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
  /** Named in the settings and not heard from yet. */
  Unknown: 'unknown',
  Alive: 'alive',
  /** Silent for longer than the settings allow. */
  Suspected: 'suspected',
  /** Said that it is leaving. */
  Leaving: 'leaving',
} as const;
export type DaemonState = ValueOf<typeof DaemonState>;

export interface DaemonRow {
  readonly id: DaemonId;
  /** Name of its VM by which operators know it; empty until it has said so. */
  readonly label: string;
  readonly zone: string;
  readonly region: string;
  readonly callerAddress: string;
  /** Where other daemons connect. */
  readonly peerAddress: string;
  readonly isControl: boolean;
  /** Whether it votes, as it has said itself or the settings say. */
  readonly isVoter: boolean;
  readonly isEntry: boolean;
  readonly isSelf: boolean;
  readonly state: DaemonState;
  readonly incarnation: number;
  /** Requests that it runs or holds, by its own last heartbeat. */
  readonly load: number;
  /** Revision of the settings that it serves with, by its last heartbeat. */
  readonly revision: number;
  /** Whether it knew at its last heartbeat that its settings are those in force. */
  readonly isFresh: boolean;
  /** When it becomes suspected unless it is heard from. */
  readonly suspicionDeadline: Instant;
  /** When the next heartbeat goes to it. */
  readonly heartbeatDeadline: Instant;
}

/** What an upstream says of itself, with its remaining time turned into a deadline. */
export interface UpstreamRow extends Omit<Announcement, 'upstream' | 'remaining' | 'service'> {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  /** When the announcement runs out. */
  readonly announcementDeadline: Instant;
  /** Attempts of this daemon that it runs now. */
  readonly ownRunning: number;
  /** Tokens of those attempts, by estimate. */
  readonly ownTokens: number;
  /** Attempts that failed in a row. */
  readonly failures: number;
  /** Whether it gets no new attempts until `breakerDeadline`. */
  readonly isBreakerOpen: boolean;
  readonly breakerDeadline: Instant;
  /** Bulk attempts among `ownRunning`. */
  readonly ownBulkRunning: number;
  /** The most attempts of this daemon that it ran at once since its last report. */
  readonly ownPeakRunning: number;
  /** Requests of other daemons that it ran at its last report: those reported beyond `ownPeak`. */
  readonly othersRunning: number;
}

/** One slot in so many is kept free of bulk work, so that a prompt request seldom waits for one. */
const slotsPerReservedSlot = 8;

const reservedSlots = (row: UpstreamRow): number =>
  row.slots < 2 ? 0 : Math.ceil(row.slots / slotsPerReservedSlot);

const freeSlots = (row: UpstreamRow): number =>
  row.state === UpstreamState.Serving && !row.isBreakerOpen
    ? row.slots - row.ownRunning - row.othersRunning
    : 0;

/** Whether an upstream takes one more prompt request. */
export const hasFreeSlot = (row: UpstreamRow): boolean => freeSlots(row) > 0;

/** Bulk requests of this daemon that may run there; at least one, so that bulk work never stands still. */
const bulkSlotLimit = (row: UpstreamRow): number =>
  Math.max(1, row.slots - reservedSlots(row) - row.othersRunning);

/** Whether an upstream takes one more bulk request. */
export const hasFreeBulkSlot = (row: UpstreamRow): boolean =>
  hasFreeSlot(row) && row.ownBulkRunning < bulkSlotLimit(row);

/** The pools in which an upstream stands: that of its service, and one for each model and adapter. */
const poolsOfUpstream = (row: UpstreamRow): readonly string[] => [
  poolIdOf(row.service, null),
  ...[...row.models, ...row.adapters].map((model) => poolIdOf(row.service, model)),
];

/** An entry that callers may use, as a control daemon told this entry, which advises callers too. */
export interface AdvisedEntryRow extends Omit<AdvisedEntry, 'name'> {
  readonly id: DaemonId;
  /** Until when it is advised unless it is named again. */
  readonly retentionDeadline: Instant;
}

/** An announcement as a port has decoded it, with the instant at which it came. */
export interface ArrivedAnnouncement {
  readonly announcement: Announcement;
  /** Whether it came from the upstream itself and not from another daemon. */
  readonly isDirect: boolean;
}

export const createMembershipTables = () => ({
  daemons: createTable<DaemonRow, 'state', 'suspicion' | 'heartbeat'>({
    name: 'daemons',
    indices: { state: (row) => row.state },
    deadlines: {
      suspicion: (row) =>
        row.isSelf || row.state === DaemonState.Suspected ? never : row.suspicionDeadline,
      heartbeat: (row) => (row.isSelf ? never : row.heartbeatDeadline),
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
  advisedEntries: createTable<AdvisedEntryRow, never, 'retention'>({
    name: 'advisedEntries',
    indices: {},
    deadlines: { retention: (row) => row.retentionDeadline },
  }),
  /** Daemons that the settings name, where these have changed since the start. */
  namedDaemons: createRowQueue<Member>('namedDaemons', RowReader.System),
  arrivedAnnouncements: createRowQueue<ArrivedAnnouncement>(
    'arrivedAnnouncements',
    RowReader.System,
  ),
});
export type MembershipTables = ReturnType<typeof createMembershipTables>;
