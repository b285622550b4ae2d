/**
 * Announcements of fake upstreams. Each announcement is sent to two running daemons, selected
 * round-robin, and is repeated before the previous one expires.
 */
import type { Instant } from '../../src/base/common/time.js';
import {
  UpstreamKind,
  type Announcement,
} from '../../src/service/protocol/common/upstreamProtocol.js';
import type { Links } from './links.js';
import type { VirtualContext, VirtualInstallation } from './virtualInstallation.js';
import type { VirtualUpstream } from './virtualUpstream.js';

const announcementIntervalMilliseconds = 1_000;
const intervalsPerAnnouncementLifetime = 3;
const daemonsPerAnnouncement = 2;

/** Returns the `host:port` of the upstream with this name. */
export const addressOf = (name: string): string => `${name}.test:80`;

const announcementOf = (upstream: VirtualUpstream, running: number, now: Instant): Announcement => {
  const { name, kind, service, zone, slots, reclaimable } = upstream.settings;
  return {
    upstream: name,
    kind,
    service,
    address: `http://${addressOf(name)}`,
    zone,
    incarnation: upstream.incarnation,
    state: upstream.state,
    models: kind === UpstreamKind.Engine ? [service] : [],
    adapters: [],
    weightVersion: upstream.weightVersion,
    reclaimable,
    checksFencing: true,
    resumesStreams: false,
    slots,
    running,
    remaining: Math.min(
      announcementIntervalMilliseconds * intervalsPerAnnouncementLifetime,
      upstream.terminationDeadline - now,
    ),
  };
};

/** Dependencies of the announcer. */
export interface AnnouncerOptions {
  readonly links: Links;
  readonly getContext: (daemon: string) => VirtualContext | undefined;
  readonly countRunning: (upstream: string) => number;
}

/** Sends announcements of upstreams to the daemons of an installation. */
export interface VirtualAnnouncer {
  readonly announce: (upstream: VirtualUpstream) => void;
  readonly announcePeriodically: (upstream: VirtualUpstream) => void;
}

/** Creates the announcer of an installation. */
export const createVirtualAnnouncer = (
  installation: VirtualInstallation,
  { links, getContext, countRunning }: AnnouncerOptions,
): VirtualAnnouncer => {
  let announcementCount = 0;

  const selectNextDaemons = (): (string | undefined)[] => {
    const daemons = installation.runningNames();
    announcementCount += 1;
    return Array.from(
      { length: daemonsPerAnnouncement },
      (_, offset) => daemons[(announcementCount + offset) % daemons.length],
    );
  };

  const sendAnnouncement = (daemon: string, zone: string, announcement: Announcement): void => {
    const context = getContext(daemon);
    context?.schedule(links.toZone(daemon, zone), () =>
      context.daemon.core.world.arrivedAnnouncements.append({ announcement, isDirect: true }),
    );
  };

  const announce = (upstream: VirtualUpstream): void => {
    if (upstream.isDown || upstream.isUnresponsive) return;
    const { name, zone } = upstream.settings;
    const announcement = announcementOf(upstream, countRunning(name), installation.now());
    if (announcement.remaining <= 0) return;
    selectNextDaemons().forEach((daemon) => {
      if (daemon !== undefined) sendAnnouncement(daemon, zone, announcement);
    });
  };

  const announcePeriodically = (upstream: VirtualUpstream): void => {
    announce(upstream);
    installation.schedule(announcementIntervalMilliseconds, () => announcePeriodically(upstream));
  };

  return { announce, announcePeriodically };
};
