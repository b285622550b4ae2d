/**
 * What an operator sees of the installation from one entry: who leads, which daemons are there, which
 * revision each of them serves, and what is degraded, with the remedy.
 */
import type { Instant, Milliseconds } from '../../../base/common/time.js';
import { remainingUntil } from '../../../base/common/time.js';
import { leadershipId } from '../../consensus/common/consensusTables.js';
import { DaemonState, type DaemonRow } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';
import { isFresh } from './keyChecks.js';
import { servedId } from './servedTables.js';

/** One daemon as the asked entry knows it. */
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
  /** How long the asked entry still counts as fresh without further news. */
  readonly freshFor: Milliseconds;
  readonly members: readonly MemberStatus[];
  /** What does not work as it should, with the remedy; empty where all is well. */
  readonly degraded: readonly string[];
}

const memberOf = (world: World, daemon: DaemonRow, now: Instant): MemberStatus => ({
  daemon: daemon.id,
  zone: daemon.zone,
  region: daemon.region,
  state: daemon.state,
  incarnation: daemon.incarnation,
  revision: daemon.isSelf ? world.served.get(servedId)!.revision : daemon.revision,
  isFresh: daemon.isSelf ? isFresh(world, now) : daemon.isFresh,
  load: daemon.load,
});

/** The daemons as this one knows them. */
export const membersOf = (world: World, now: Instant): readonly MemberStatus[] =>
  [...world.daemons.rows()].map((daemon) => memberOf(world, daemon, now));

/** What is wrong with a daemon in each state, or undefined where nothing is. */
const faultsByState: Readonly<Record<DaemonState, string | undefined>> = {
  unknown: 'has not been heard from; start it or check its peer address',
  alive: undefined,
  suspected: 'is silent; look at its VM and at the network to it',
  leaving: undefined,
};

const faultOf = (member: MemberStatus): string | undefined => {
  const fault = faultsByState[member.state];
  if (fault !== undefined) return `${member.daemon} ${fault}.`;
  if (member.isFresh) return undefined;
  return (
    `${member.daemon} refuses requests with keys, as it is cut off from the control daemons; ` +
    'check the network from it to them.'
  );
};

const noLeader =
  'No leader is known, so no edit is accepted; check that more than half of the control daemons run ' +
  'and reach each other.';

/** The state of the installation as this daemon knows it. */
export const statusOf = (world: World, now: Instant): Status => {
  const leadership = world.leadership.get(leadershipId);
  const leader = leadership?.leader ?? null;
  const members = membersOf(world, now);
  const faults = members.map(faultOf).filter((fault) => fault !== undefined);
  return {
    askedDaemon: world.self.name,
    leader,
    term: leadership?.term ?? 0,
    revision: world.served.get(servedId)!.revision,
    isFresh: isFresh(world, now),
    freshFor: remainingUntil(leadership?.freshnessDeadline ?? now, now),
    members,
    degraded: [...(leader === null ? [noLeader] : []), ...faults],
  };
};
