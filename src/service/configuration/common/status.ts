/**
 * Status of the installation as one daemon sees it: the leader, the members, the revision that each
 * member serves, and degraded components with the remedy. Computed on request; changes no tables.
 */
import type { Instant, Milliseconds } from '../../../base/common/time.js';
import { remainingUntil } from '../../../base/common/time.js';
import { leadershipId } from '../../consensus/common/consensusTables.js';
import { DaemonState, type DaemonRow } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';
import { hasFreshSettings } from './keyChecks.js';
import { servedId } from './servedTables.js';

/** Status of one daemon as the responding daemon knows it. */
export interface MemberStatus {
  readonly daemon: string;
  readonly zone: string;
  readonly region: string;
  readonly state: DaemonState;
  readonly incarnation: number;
  readonly revision: number;
  readonly isFresh: boolean;
  readonly load: number;
}

export interface Status {
  readonly askedDaemon: string;
  readonly leader: string | null;
  readonly term: number;
  readonly revision: number;
  readonly isFresh: boolean;
  /** Milliseconds for which the settings of the responding daemon stay fresh without an update. */
  readonly freshFor: Milliseconds;
  readonly members: readonly MemberStatus[];
  /** One message for each degraded component, with the remedy; empty if nothing is degraded. */
  readonly degraded: readonly string[];
}

const createMemberStatus = (world: World, daemon: DaemonRow, now: Instant): MemberStatus => ({
  daemon: daemon.id,
  zone: daemon.zone,
  region: daemon.region,
  state: daemon.state,
  incarnation: daemon.incarnation,
  revision: daemon.isSelf ? world.served.get(servedId)!.revision : daemon.revision,
  isFresh: daemon.isSelf ? hasFreshSettings(world, now) : daemon.isFresh,
  load: daemon.load,
});

/** Lists the daemons that this daemon knows, including itself. */
export const listMembers = (world: World, now: Instant): readonly MemberStatus[] =>
  [...world.daemons.rows()].map((daemon) => createMemberStatus(world, daemon, now));

/** The fault text of a daemon by its state, or undefined if the state is healthy. */
const faultTextsByState: Readonly<Record<DaemonState, string | undefined>> = {
  unknown: 'has not responded yet; start it or check its peer address',
  alive: undefined,
  suspected: 'does not respond; check its VM and the network to it',
  leaving: undefined,
};

const describeFault = (member: MemberStatus): string | undefined => {
  const fault = faultTextsByState[member.state];
  if (fault !== undefined) return `${member.daemon} ${fault}.`;
  if (member.isFresh) return undefined;
  return (
    `${member.daemon} refuses requests with keys because it cannot reach the control daemons; ` +
    'check the network between them.'
  );
};

const noLeaderText =
  'No leader is known, so edits are rejected; check that a majority of the control daemons ' +
  'is running and connected.';

/** Computes the status of the installation as this daemon knows it. */
export const computeStatus = (world: World, now: Instant): Status => {
  const leadership = world.leadership.get(leadershipId);
  const leader = leadership?.leader ?? null;
  const members = listMembers(world, now);
  const faults = members.map(describeFault).filter((fault) => fault !== undefined);
  return {
    askedDaemon: world.self.name,
    leader,
    term: leadership?.term ?? 0,
    revision: world.served.get(servedId)!.revision,
    isFresh: hasFreshSettings(world, now),
    freshFor: remainingUntil(leadership?.freshnessDeadline ?? now, now),
    members,
    degraded: [...(leader === null ? [noLeaderText] : []), ...faults],
  };
};
