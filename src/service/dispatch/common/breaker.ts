/**
 * Circuit breakers of upstreams. An upstream with several consecutive failed attempts gets no new
 * ones for a while; if its next attempt then fails too, the breaker opens for twice as long. An
 * upstream that reports that it is full counts as full until its next report.
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

/** Counts a failure of an upstream and opens its breaker at the threshold. */
export const recordUpstreamFailure = (world: World, id: UpstreamId, now: Instant): void => {
  const upstream = world.upstreams.get(id);
  if (upstream === undefined || upstream.isBreakerOpen) return;
  const failures = upstream.failures + 1;
  if (failures < failureThreshold) world.upstreams.change(id, { failures });
  else openBreaker(world, upstream, failures, now);
};

/** Resets the failures of an upstream that has answered. */
export const recordUpstreamSuccess = (world: World, id: UpstreamId): void => {
  const upstream = world.upstreams.get(id);
  if (upstream === undefined || upstream.failures === 0) return;
  world.upstreams.change(id, { failures: 0, isBreakerOpen: false, breakerDeadline: never });
};

/** Marks an upstream as full until its next report. */
export const markUpstreamFull = (world: World, id: UpstreamId): void => {
  const upstream = world.upstreams.get(id);
  if (upstream === undefined) return;
  const othersRunning = Math.max(upstream.othersRunning, upstream.slots - upstream.ownRunning);
  world.upstreams.change(id, { othersRunning });
};

/** Closes the breakers whose open time has passed, so that their upstreams are tried again. */
export const closeDueBreakers = (world: World, now: Instant): void =>
  world.upstreams
    .takeDue('breaker', now)
    .forEach(({ id }) =>
      world.upstreams.change(id, { isBreakerOpen: false, breakerDeadline: never }),
    );
