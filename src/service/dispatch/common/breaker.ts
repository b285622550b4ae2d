/**
 * Breakers: an upstream whose attempts fail one after the other gets no new ones for a while, and then
 * has to succeed at once or is left alone for twice as long. An upstream that says that it is full is
 * counted as full until its next report.
 */
import {
  deadlineAfter,
  never,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { UpstreamRow } from '../../membership/common/membershipTables.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';

const failureThreshold = 3;
const minimumOpenMilliseconds = 1_000;
const maximumOpenMilliseconds = 30_000;

const computeOpenMilliseconds = (failures: number): Milliseconds =>
  Math.min(maximumOpenMilliseconds, minimumOpenMilliseconds * 2 ** (failures - failureThreshold));

const openBreaker = (world: World, upstream: UpstreamRow, failures: number, now: Instant): void => {
  world.upstreams.change(upstream.id, {
    failures,
    isBreakerOpen: true,
    breakerDeadline: deadlineAfter(now, computeOpenMilliseconds(failures)),
  });
  world.metrics.count('breakers.opened');
  world.events.append({ kind: EventKind.BreakerOpened, subject: { upstream: upstream.id } });
};

/** Counts a failure of an upstream. */
export const recordUpstreamFailure = (world: World, id: UpstreamId, now: Instant): void => {
  const upstream = world.upstreams.get(id);
  if (upstream === undefined || upstream.isBreakerOpen) return;
  const failures = upstream.failures + 1;
  if (failures < failureThreshold) world.upstreams.change(id, { failures });
  else openBreaker(world, upstream, failures, now);
};

/** Forgets the failures of an upstream that has answered. */
export const recordUpstreamSuccess = (world: World, id: UpstreamId): void => {
  const upstream = world.upstreams.get(id);
  if (upstream === undefined || upstream.failures === 0) return;
  world.upstreams.change(id, { failures: 0, isBreakerOpen: false, breakerDeadline: never });
};

/** Counts an upstream as full until its next report. */
export const markUpstreamFull = (world: World, id: UpstreamId): void => {
  const upstream = world.upstreams.get(id);
  if (upstream === undefined) return;
  const othersRunning = Math.max(upstream.othersRunning, upstream.slots - upstream.ownRunning);
  world.upstreams.change(id, { othersRunning });
};

/** Lets upstreams be tried again whose breaker has been open for long enough. */
export const closeDueBreakers = (world: World, now: Instant): void =>
  world.upstreams
    .takeDue('breaker', now)
    .forEach(({ id }) =>
      world.upstreams.change(id, { isBreakerOpen: false, breakerDeadline: never }),
    );
