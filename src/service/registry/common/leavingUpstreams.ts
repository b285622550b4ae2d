/**
 * Upstreams that said in an answer that they are leaving. The daemon that received the answer sends
 * them no new work from then on, whatever their reports say, until a later start registers. It
 * tells the other daemons, as it does with a changed registration. The registry system runs this;
 * requests that run on such an upstream go on.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import {
  isControlDaemon,
  listFollowingEntries,
  listOtherControlDaemons,
} from '../../membership/common/contacts.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import {
  RegistrationState,
  type Registration,
  type RegistryMessage,
  type UpstreamStart,
} from './registryTables.js';

/**
 * Time for which a leaving upstream is remembered after its last such answer. It exits within
 * seconds, or many seconds at times; its registration may expire and come back until then.
 */
const retentionMilliseconds: Milliseconds = 600_000;

/** Whether an upstream said, in this start or a later one, that it is leaving. */
const isLeaving = (
  world: World,
  { upstream, startedAt }: Pick<Registration, 'upstream' | 'startedAt'>,
): boolean => {
  const leaving = world.leavingUpstreams.get(asBrand<UpstreamId>(upstream));
  return leaving !== undefined && startedAt <= leaving.startedAt;
};

/** Returns the state of a registration for this daemon: its own, or draining if it is leaving. */
export const effectiveStateOf = (world: World, registration: Registration): RegistrationState =>
  isLeaving(world, registration) ? RegistrationState.Draining : registration.state;

const sendOn = (world: World, start: UpstreamStart, isDirect: boolean): void => {
  const message: RegistryMessage = { kind: 'upstreamLeaving', start };
  const receivers = [
    ...(isDirect ? listOtherControlDaemons(world) : []),
    ...(isControlDaemon(world) ? listFollowingEntries(world) : []),
  ];
  receivers.forEach(({ id: to }) => world.outgoingMessages.append({ to, message }));
};

const drainRegistration = (world: World, { upstream, startedAt }: UpstreamStart): void => {
  const row = world.registrations.get(asBrand<UpstreamId>(upstream));
  if (row === undefined || row.startedAt > startedAt) return;
  world.registrations.change(row.id, { state: RegistrationState.Draining });
};

/**
 * Records that an upstream is leaving. `isDirect` says that this daemon received the answer, and
 * not a message of another daemon.
 */
export const handleLeavingUpstream = (
  world: World,
  start: UpstreamStart,
  isDirect: boolean,
  now: Instant,
): void => {
  const { upstream, startedAt } = start;
  const id = asBrand<UpstreamId>(upstream);
  const isKnown = isLeaving(world, start);
  world.leavingUpstreams.put({
    id,
    startedAt: Math.max(startedAt, world.leavingUpstreams.get(id)?.startedAt ?? startedAt),
    retentionDeadline: deadlineAfter(now, retentionMilliseconds),
  });
  if (isKnown) return;
  drainRegistration(world, start);
  const row = world.registrations.get(id);
  world.events.append({
    kind: EventKind.RegistrationChanged,
    subject: {
      upstream,
      state: 'leaving',
      address: row?.address ?? '',
      service: row?.service ?? '',
    },
  });
  sendOn(world, start, isDirect);
};

/** Removes the upstreams that have exited by now. */
export const removeExpiredLeavingUpstreams = (world: World, now: Instant): void =>
  world.leavingUpstreams
    .takeDue('retention', now)
    .forEach(({ id }) => world.leavingUpstreams.remove(id));
