/**
 * Takes announcements of upstreams into the table, relays those that came directly to the other daemons,
 * and removes upstreams whose announcement has run out.
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
  type ArrivedAnnouncement,
  type DaemonRow,
  type UpstreamRow,
} from './membershipTables.js';

const createUpstreamRow = (
  announcement: Announcement,
  before: UpstreamRow | undefined,
  now: Instant,
): UpstreamRow => {
  const { upstream, remaining, ...reported } = announcement;
  return {
    ...reported,
    id: asBrand<UpstreamId>(upstream),
    service: asBrand<ServiceName>(announcement.service),
    announcementDeadline: deadlineAfter(now, remaining),
    ownRunning: before?.ownRunning ?? 0,
    ownTokens: before?.ownTokens ?? 0,
    failures: before?.failures ?? 0,
    isBreakerOpen: before?.isBreakerOpen ?? false,
    breakerDeadline: before?.breakerDeadline ?? never,
    ownBulkRunning: before?.ownBulkRunning ?? 0,
    ownPeakRunning: before?.ownRunning ?? 0,
    othersRunning: Math.max(0, announcement.running - (before?.ownPeakRunning ?? 0)),
  };
};

const isObsolete = (announcement: Announcement, before: UpstreamRow | undefined): boolean =>
  before !== undefined && announcement.incarnation < before.incarnation;

const eventKindOf = (
  before: UpstreamRow | undefined,
  after: UpstreamRow,
): EventKind | undefined => {
  if (before === undefined) return EventKind.UpstreamAnnounced;
  const isChanged =
    before.state !== after.state ||
    before.incarnation !== after.incarnation ||
    before.weightVersion !== after.weightVersion;
  return isChanged ? EventKind.UpstreamChanged : undefined;
};

const recordChange = (world: World, before: UpstreamRow | undefined, after: UpstreamRow): void => {
  const kind = eventKindOf(before, after);
  if (kind === undefined) return;
  const { id, service, state, incarnation, weightVersion } = after;
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

const handleAnnouncement = (world: World, arrived: ArrivedAnnouncement, now: Instant): void => {
  const { announcement } = arrived;
  const before = world.upstreams.get(asBrand<UpstreamId>(announcement.upstream));
  if (isObsolete(announcement, before)) return;
  const after = world.upstreams.put(createUpstreamRow(announcement, before, now));
  recordChange(world, before, after);
  if (arrived.isDirect) relayAnnouncement(world, announcement);
};

const removeUpstream = (world: World, upstream: UpstreamRow): void => {
  world.upstreams.remove(upstream.id);
  world.events.append({ kind: EventKind.UpstreamGone, subject: { upstream: upstream.id } });
};

/** Creates the system of announcements. */
export const createAnnouncementSystem = (world: World): System => ({
  name: 'announcement',
  run: (now) => {
    world.arrivedAnnouncements
      .takeAll()
      .forEach((arrived) => handleAnnouncement(world, arrived, now));
    world.upstreams
      .takeDue('announcement', now)
      .forEach((upstream) => removeUpstream(world, upstream));
  },
});
