/**
 * Who is there: the daemons of the installation and the upstreams that have announced themselves.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import { never, type Instant } from '../../../base/common/time.js';
import { createTable } from '../../../platform/tables/common/table.js';
import { RowReader } from '../../../platform/tables/common/rowReader.js';
import { createRowQueue } from '../../../platform/tables/common/rowQueue.js';
import type { Announcement } from '../../protocol/common/upstreamProtocol.js';
import type { DaemonId, UpstreamId } from '../../world/common/identifiers.js';

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
  readonly zone: string;
  readonly region: string;
  readonly callerAddress: string;
  readonly isEntry: boolean;
  readonly isSelf: boolean;
  readonly state: DaemonState;
  readonly incarnation: number;
  /** Requests that it runs or holds, by its own last heartbeat. */
  readonly load: number;
  /** When it becomes suspected unless it is heard from. */
  readonly suspicionDeadline: Instant;
  /** When the next heartbeat goes to it. */
  readonly heartbeatDeadline: Instant;
}

/** What an upstream says of itself, with its remaining time turned into a deadline. */
export interface UpstreamRow extends Omit<Announcement, 'upstream' | 'remaining'> {
  readonly id: UpstreamId;
  /** When the announcement runs out. */
  readonly announcementDeadline: Instant;
  /** Attempts of this daemon that it runs now. */
  readonly ownRunning: number;
  /** Tokens of those attempts, by estimate. */
  readonly ownTokens: number;
}

/** Whether an upstream takes one more request. */
export const hasFreeSlot = (row: UpstreamRow): boolean =>
  row.state === 'serving' && row.ownRunning < row.slots;

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
  upstreams: createTable<UpstreamRow, 'service', 'announcement', 'free'>({
    name: 'upstreams',
    indices: { service: (row) => row.service },
    deadlines: { announcement: (row) => row.announcementDeadline },
    draws: { free: (row) => (hasFreeSlot(row) ? row.service : undefined) },
  }),
  arrivedAnnouncements: createRowQueue<ArrivedAnnouncement>(
    'arrivedAnnouncements',
    RowReader.System,
  ),
});
export type MembershipTables = ReturnType<typeof createMembershipTables>;
