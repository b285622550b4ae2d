/**
 * Quarantine of requests that crash upstreams. A crash is told to all daemons; a request while which two
 * distinct upstreams crashed is refused everywhere. Requests that merely ran beside it are told apart by
 * routing, which never puts two suspects of this daemon on one upstream.
 */
import { z } from 'zod';
import { asBrand } from '../../../base/common/brand.js';
import type { HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { RequestRow } from '../../traffic/common/trafficTables.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { isQuarantined, suspectIdOf, type SuspectId, type SuspectRow } from './retryTables.js';

export const upstreamCrashedSchema = z.object({
  kind: z.literal('upstreamCrashed'),
  /** Fingerprint of a request that ran there. */
  suspect: z.string().min(1),
  upstream: z.string().min(1),
});

/** The messages of quarantine. */
export type QuarantineMessage = z.infer<typeof upstreamCrashedSchema>;

const suspectRetentionMilliseconds = 600_000;
const maximumSuspects = 10_000;

/** The suspicion under which a request stands, or undefined where it has none. */
export const suspectOf = (world: World, request: RequestRow): SuspectRow | undefined =>
  request.digest === undefined
    ? undefined
    : world.suspects.get(suspectIdOf(request.workspace, request.digest));

const recordSuspect = (world: World, id: SuspectId, upstream: UpstreamId, now: Instant): void => {
  const previous = world.suspects.get(id);
  if (previous === undefined && world.suspects.size() >= maximumSuspects) return;
  const existingUpstreams = previous?.upstreams ?? [];
  const upstreams = existingUpstreams.includes(upstream)
    ? existingUpstreams
    : [...existingUpstreams, upstream];
  const expiryDeadline = deadlineAfter(now, suspectRetentionMilliseconds);
  const updated = world.suspects.put({ id, upstreams, expiryDeadline });
  if (isQuarantined(previous) || !isQuarantined(updated)) return;
  world.metrics.count('requests.quarantined');
  world.events.append({ kind: EventKind.RequestQuarantined, subject: { suspect: id } });
};

/** Records that an upstream crashed while it ran a request, and tells the other daemons. */
export const recordCrash = (
  world: World,
  request: RequestRow,
  upstream: UpstreamId,
  now: Instant,
): void => {
  if (request.digest === undefined) return;
  const suspect = suspectIdOf(request.workspace, request.digest);
  recordSuspect(world, suspect, upstream, now);
  [...world.daemons.rows()]
    .filter((daemon) => !daemon.isSelf)
    .forEach(({ id }) =>
      world.outgoingMessages.append({
        to: id,
        message: { kind: 'upstreamCrashed', suspect, upstream },
      }),
    );
};

export const quarantineHandlers: HandlerTable<
  QuarantineMessage,
  void,
  [World, DaemonRow, Instant]
> = {
  upstreamCrashed: ({ suspect, upstream }, world, _, now) =>
    recordSuspect(world, asBrand<SuspectId>(suspect), asBrand<UpstreamId>(upstream), now),
};

/** Forgets suspicions that have expired. */
export const removeExpiredSuspects = (world: World, now: Instant): void =>
  world.suspects.takeDue('expiry', now).forEach(({ id }) => world.suspects.remove(id));
