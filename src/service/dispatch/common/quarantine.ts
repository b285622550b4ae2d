/**
 * Quarantines requests that crash upstreams. Each crash is broadcast to all daemons, and a request
 * during which two distinct upstreams crashed is refused by every daemon. Routing never sends two
 * suspects of this daemon to the same upstream, so requests that merely ran at the same time as the
 * cause of a crash are distinguished from it.
 */
import * as z from 'zod';
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
  /** Fingerprint of a request that ran on the upstream. */
  suspect: z.string().min(1),
  upstream: z.string().min(1),
});

/** Messages of the quarantine between daemons. */
export type QuarantineMessage = z.infer<typeof upstreamCrashedSchema>;

const suspectRetentionMilliseconds = 600_000;
const maximumSuspects = 10_000;

/** Returns the suspect row of a request, or undefined if no upstream has crashed during it. */
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

/** Records that an upstream crashed while it ran a request, and notifies the other daemons. */
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

/** Removes the suspect rows that have expired. */
export const removeExpiredSuspects = (world: World, now: Instant): void =>
  world.suspects.takeDue('expiry', now).forEach(({ id }) => world.suspects.remove(id));
