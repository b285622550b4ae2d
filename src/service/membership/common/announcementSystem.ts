/**
 * Processes announcements of upstreams on each tick: updates the table of upstreams, relays direct
 * announcements to the other daemons, and removes upstreams whose announcement has expired.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { Announcement } from '../../protocol/common/upstreamProtocol.js';
import type { ServiceName, UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import {
  DaemonState,
  type ReceivedAnnouncement,
  type DaemonRow,
  type UpstreamRow,
} from './membershipTables.js';

const createUpstreamRow = (
  announcement: Announcement,
  existing: UpstreamRow | undefined,
  now: Instant,
): UpstreamRow => {
  const { upstream, remaining, ...reported } = announcement;
  return {
    ...reported,
    id: asBrand<UpstreamId>(upstream),
    service: asBrand<ServiceName>(announcement.service),
    announcementDeadline: deadlineAfter(now, remaining),
    ownRunning: existing?.ownRunning ?? 0,
    ownTokens: existing?.ownTokens ?? 0,
    failures: existing?.failures ?? 0,
    isBreakerOpen: existing?.isBreakerOpen ?? false,
    breakerDeadline: existing?.breakerDeadline ?? never,
    ownBulkRunning: existing?.ownBulkRunning ?? 0,
    ownPeakRunning: existing?.ownRunning ?? 0,
    othersRunning: Math.max(0, announcement.running - (existing?.ownPeakRunning ?? 0)),
  };
};

const isObsolete = (announcement: Announcement, existing: UpstreamRow | undefined): boolean =>
  existing !== undefined && announcement.incarnation < existing.incarnation;

const eventKindOf = (
  existing: UpstreamRow | undefined,
  updated: UpstreamRow,
): EventKind | undefined => {
  if (existing === undefined) return EventKind.UpstreamAnnounced;
  const isChanged =
    existing.state !== updated.state ||
    existing.incarnation !== updated.incarnation ||
    existing.weightVersion !== updated.weightVersion;
  return isChanged ? EventKind.UpstreamChanged : undefined;
};

const recordChange = (
  world: World,
  existing: UpstreamRow | undefined,
  updated: UpstreamRow,
): void => {
  const kind = eventKindOf(existing, updated);
  if (kind === undefined) return;
  const { id, service, state, incarnation, weightVersion } = updated;
  world.events.append({
    kind,
    subject: { upstream: id, service, state, incarnation, weightVersion },
  });
};

const isReachable = (daemon: DaemonRow): boolean =>
  !daemon.isSelf && daemon.state !== DaemonState.Suspected;

const relayAnnouncement = (world: World, announcement: Announcement): void => {
  [...world.daemons.rows()].filter(isReachable).forEach((daemon) =>
    world.outgoingMessages.append({
      to: daemon.id,
      message: { kind: 'upstreamAnnounced', announcement },
    }),
  );
};

const handleAnnouncement = (world: World, received: ReceivedAnnouncement, now: Instant): void => {
  const { announcement } = received;
  const existing = world.upstreams.get(asBrand<UpstreamId>(announcement.upstream));
  if (isObsolete(announcement, existing)) return;
  const updated = world.upstreams.put(createUpstreamRow(announcement, existing, now));
  recordChange(world, existing, updated);
  if (received.isDirect) relayAnnouncement(world, announcement);
};

const removeUpstream = (world: World, upstream: UpstreamRow): void => {
  world.upstreams.remove(upstream.id);
  world.events.append({ kind: EventKind.UpstreamRemoved, subject: { upstream: upstream.id } });
};

/** Creates the announcement system. */
export const createAnnouncementSystem = (world: World): System => ({
  name: 'announcement',
  run: (now) => {
    world.arrivedAnnouncements
      .takeAll()
      .forEach((received) => handleAnnouncement(world, received, now));
    world.upstreams
      .takeDue('announcement', now)
      .forEach((upstream) => removeUpstream(world, upstream));
  },
});
