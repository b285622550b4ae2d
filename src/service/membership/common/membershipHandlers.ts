/**
 * Handlers for the messages of membership: heartbeats and relayed announcements of upstreams.
 */
import type { HandlerTable, UnionMember } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import { Discovery } from '../../../infrastructure/settings/common/deployment.js';
import { handleEndedTerm } from '../../consensus/common/endedLeadership.js';
import { handleVoters } from '../../consensus/common/voters.js';
import { EventKind } from '../../events/common/eventKind.js';
import { handleDepartures } from '../../registry/common/registrySystem.js';
import type { World } from '../../world/common/world.js';
import { computeSuspicionTimeout } from './contacts.js';
import { handleLists, handleListsVersion } from './membershipLists.js';
import type { MembershipMessage } from './membershipMessages.js';
import { DaemonState, type DaemonRow } from './membershipTables.js';

/**
 * Returns the columns that a sender reports about itself. They are empty or provisional while a
 * daemon is known only by its address.
 */
const memberColumnsOf = ({
  member,
}: UnionMember<MembershipMessage, 'heartbeat'>): Partial<Omit<DaemonRow, 'id'>> =>
  member === undefined
    ? {}
    : {
        label: member.label ?? '',
        zone: member.zone,
        region: member.region,
        callerAddress: member.callerAddress,
      };

/** Handles the lists of a heartbeat. The versions of an earlier incarnation mean nothing now. */
const handleListFields = (
  world: World,
  sender: DaemonRow,
  { incarnation, lists, listsVersion }: UnionMember<MembershipMessage, 'heartbeat'>,
  now: Instant,
): void => {
  const isNewIncarnation = incarnation !== sender.incarnation;
  if (isNewIncarnation) world.daemons.change(sender.id, { appliedLists: 0 });
  if (lists !== undefined) handleLists(world, sender, lists, now);
  else if (listsVersion !== undefined && !isNewIncarnation)
    handleListsVersion(world, sender, listsVersion, now);
};

/**
 * Whether a heartbeat comes from an earlier process of a daemon. An incarnation is the time of a start
 * by the wall clock, which may have been set back before the next start, so a lower one is accepted
 * once the process with the higher one is silent.
 */
const isOutdated = (
  { incarnation }: UnionMember<MembershipMessage, 'heartbeat'>,
  daemon: DaemonRow,
): boolean => incarnation < daemon.incarnation && daemon.state !== DaemonState.Suspected;

export const membershipHandlers: HandlerTable<
  MembershipMessage,
  void,
  [World, DaemonRow, Instant]
> = {
  heartbeat: (message, world, daemon, now) => {
    if (isOutdated(message, daemon)) return;
    handleDepartures(world, message.departures ?? [], now);
    (message.reports ?? []).forEach((registration) =>
      world.arrivedRegistrations.append({ registration, isDirect: false }),
    );
    handleListFields(world, daemon, message, now);
    if (message.voters !== undefined) handleVoters(world, message.voters, now);
    if (message.endedTerm !== undefined) handleEndedTerm(world, daemon, message.endedTerm, now);
    const state = message.leaving ? DaemonState.Leaving : DaemonState.Alive;
    world.daemons.change(daemon.id, {
      state,
      incarnation: message.incarnation,
      load: message.load,
      revision: message.revision,
      isFresh: message.isFresh,
      heldLists: message.heldLists ?? null,
      ...memberColumnsOf(message),
      isVoter:
        world.deployment.discovery === Discovery.Listed
          ? daemon.isVoter
          : message.voters?.names.includes(daemon.id) === true,
      suspicionDeadline: deadlineAfter(
        now,
        computeSuspicionTimeout(
          world,
          message.intervalMilliseconds ?? world.deployment.timing.heartbeatMilliseconds,
        ),
      ),
    });
    if (daemon.state === state) return;
    world.events.append({ kind: EventKind.PeerAlive, subject: { daemon: daemon.id, state } });
  },
  upstreamAnnounced: (message, world) => {
    world.arrivedAnnouncements.append({ announcement: message.announcement, isDirect: false });
  },
};
