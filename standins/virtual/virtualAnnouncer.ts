/**
 * Announcements of fake upstreams: each goes to two running daemons in turn, again before it runs out.
 */
import type { Instant } from '../../src/base/common/time.js';
import {
  UpstreamKind,
  type Announcement,
} from '../../src/service/protocol/common/upstreamProtocol.js';
import type { Links } from './links.js';
import type { VirtualContext, VirtualInstallation } from './virtualInstallation.js';
import type { VirtualUpstream } from './virtualUpstream.js';

const announceMilliseconds = 1_000;
const announcementsMissed = 3;
const announcedDaemons = 2;

const announcementOf = (upstream: VirtualUpstream, running: number, now: Instant): Announcement => {
  const { name, kind, service, zone, slots, reclaimable } = upstream.settings;
  return {
    upstream: name,
    kind,
    service,
    address: `http://${name}.test`,
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
    remaining: Math.min(announceMilliseconds * announcementsMissed, upstream.goneDeadline - now),
  };
};

/** What the announcer needs of the upstreams. */
export interface AnnouncerOptions {
  readonly links: Links;
  readonly contextOf: (daemon: string) => VirtualContext | undefined;
  readonly runningCount: (upstream: string) => number;
}

/** Announces upstreams to an installation. */
export interface VirtualAnnouncer {
  readonly announce: (upstream: VirtualUpstream) => void;
  readonly announceForever: (upstream: VirtualUpstream) => void;
}

/** Creates the announcer of an installation. */
export const createVirtualAnnouncer = (
  installation: VirtualInstallation,
  { links, contextOf, runningCount }: AnnouncerOptions,
): VirtualAnnouncer => {
  let announcements = 0;

  const nextDaemons = (): (string | undefined)[] => {
    const daemons = installation.runningNames();
    announcements += 1;
    return Array.from(
      { length: announcedDaemons },
      (_, offset) => daemons[(announcements + offset) % daemons.length],
    );
  };

  const send = (daemon: string, zone: string, announcement: Announcement): void => {
    const context = contextOf(daemon);
    context?.schedule(links.toZone(daemon, zone), () =>
      context.daemon.core.world.arrivedAnnouncements.append({ announcement, isDirect: true }),
    );
  };

  const announce = (upstream: VirtualUpstream): void => {
    if (upstream.isDown || upstream.isSilent) return;
    const { name, zone } = upstream.settings;
    const announcement = announcementOf(upstream, runningCount(name), installation.now());
    if (announcement.remaining <= 0) return;
    nextDaemons().forEach((daemon) => {
      if (daemon !== undefined) send(daemon, zone, announcement);
    });
  };

  const announceForever = (upstream: VirtualUpstream): void => {
    announce(upstream);
    installation.schedule(announceMilliseconds, () => announceForever(upstream));
  };

  return { announce, announceForever };
};
