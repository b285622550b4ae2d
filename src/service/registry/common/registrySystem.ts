/**
 * Handles registration reports and departures of upstreams. The control daemon that receives a
 * change from an upstream sends it to the other control daemons, and each of them to the entries
 * that contact it. Runs each tick, and removes registrations whose reports stop.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import {
  computeHeartbeatInterval,
  isControlDaemon,
  listFollowingEntries,
  listOtherControlDaemons,
} from '../../membership/common/contacts.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { applyRegistration, RegistrationDifference } from './applyRegistration.js';
import { handleLeavingUpstream, removeExpiredLeavingUpstreams } from './leavingUpstreams.js';
import { reportTimeoutMilliseconds } from './registrations.js';
import type {
  ReceivedDeparture,
  ReceivedRegistration,
  Departure,
  RegistrationRow,
  RegistryMessage,
} from './registryTables.js';

/**
 * An upstream that has not reported for this time receives new work only if no other upstream can
 * run it. Reports arrive about every 1.2 s, so one report was missed and the next one is late.
 */
export const overdueThresholdMilliseconds = 2_200;

/** Heartbeats that repeat a report of an upstream: two, because one may be lost, and some slack. */
const repeatIntervals = 2.2;

/** Time for which heartbeats repeat a departure: several heartbeats, because one may be lost. */
const announcementMilliseconds = 5_000;

/** Late reports of a departed upstream arrive within this time. */
const departureRetentionMilliseconds = 20_000;

/**
 * Whether the reports of an upstream are overdue; it may have stopped without announcing its
 * departure.
 */
export const isOverdue = (
  { reportDeadline }: Pick<RegistrationRow, 'reportDeadline'>,
  now: Instant,
): boolean => reportDeadline - reportTimeoutMilliseconds + overdueThresholdMilliseconds < now;

/** Returns the time from which the reports of an upstream are overdue unless another one arrives. */
export const overdueInstantOf = ({
  reportDeadline,
}: Pick<RegistrationRow, 'reportDeadline'>): Instant =>
  reportDeadline - reportTimeoutMilliseconds + overdueThresholdMilliseconds + 1;

const sendToFollowingEntries = (world: World, message: RegistryMessage): void =>
  listFollowingEntries(world).forEach(({ id: to }) =>
    world.outgoingMessages.append({ to, message }),
  );

const sendToControlDaemons = (world: World, message: RegistryMessage): void =>
  listOtherControlDaemons(world).forEach(({ id: to }) =>
    world.outgoingMessages.append({ to, message }),
  );

/**
 * Sends a changed registration on: to the other control daemons if the upstream itself reported it
 * here, and to the entries that contact this control daemon. Unchanged reports travel in heartbeats.
 */
const sendDifference = (
  world: World,
  { registration, isDirect }: ReceivedRegistration,
  difference: RegistrationDifference,
): void => {
  if (difference === RegistrationDifference.None) return;
  const message = { kind: 'upstreamRegistered', registration } as const;
  if (isDirect) sendToControlDaemons(world, message);
  const isForEntries = difference === RegistrationDifference.Routing && isControlDaemon(world);
  if (isForEntries) sendToFollowingEntries(world, message);
};

const handleRegistration = (world: World, received: ReceivedRegistration, now: Instant): void => {
  const difference = applyRegistration(world, received.registration, now);
  if (received.isDirect) {
    const id = asBrand<UpstreamId>(received.registration.upstream);
    const repeatDeadline = deadlineAfter(now, repeatIntervals * computeHeartbeatInterval(world));
    world.registrations.change(id, { repeatDeadline });
  }
  sendDifference(world, received, difference);
};

/** Handles a departure; one that is new to a control daemon is sent on to its entries. */
const handleDeparture = (world: World, departure: Departure, now: Instant): void => {
  const { upstream, startedAt } = departure;
  const id = asBrand<UpstreamId>(upstream);
  const existing = world.upstreamDepartures.get(id);
  if (existing !== undefined && existing.startedAt >= startedAt) return;
  if (isControlDaemon(world))
    sendToFollowingEntries(world, { kind: 'upstreamDeparted', departure });
  world.upstreamDepartures.put({
    id,
    startedAt,
    retentionDeadline: deadlineAfter(now, departureRetentionMilliseconds),
    announcementDeadline: deadlineAfter(now, announcementMilliseconds),
  });
  const registration = world.registrations.get(id);
  if (registration !== undefined && registration.startedAt <= startedAt)
    world.registrations.remove(id);
  world.events.append({
    kind: EventKind.RegistrationChanged,
    subject: {
      upstream,
      state: 'gone',
      address: registration?.address ?? '',
      service: registration?.service ?? '',
    },
  });
};

/**
 * Fills in a missing start time. An upstream that sends none may be registered with other daemons
 * but not here, in which case the current wall-clock time covers all of its starts so far.
 */
const resolveDeparture = (world: World, { upstream, startedAt }: ReceivedDeparture): Departure => ({
  upstream,
  startedAt:
    startedAt ??
    world.registrations.get(asBrand<UpstreamId>(upstream))?.startedAt ??
    world.wallNow(),
});

/** Returns the departures that heartbeats to other daemons still include. */
export const recentDepartures = (world: World, now: Instant): Departure[] =>
  [...world.upstreamDepartures.rows()]
    .filter(({ announcementDeadline }) => announcementDeadline > now)
    .map(({ id, startedAt }) => ({ upstream: id, startedAt }));

/** Handles the departures contained in a received heartbeat. */
export const handleDepartures = (
  world: World,
  departures: readonly Departure[],
  now: Instant,
): void => departures.forEach((departure) => handleDeparture(world, departure, now));

/** Handlers of the registry messages that other daemons send, by `kind`. */
export const registryHandlers: HandlerTable<RegistryMessage, void, [World, DaemonRow, Instant]> = {
  upstreamRegistered: ({ registration }, world) => {
    world.arrivedRegistrations.append({ registration, isDirect: false });
  },
  upstreamDeparted: ({ departure }, world, _, now) => handleDeparture(world, departure, now),
  upstreamLeaving: ({ start }, world, _, now) => handleLeavingUpstream(world, start, false, now),
};

/** Creates the system that maintains the registry. */
export const createRegistrySystem = (world: World): System => ({
  name: 'registry',
  run: (now) => {
    world.leavingFacts.takeAll().forEach((start) => handleLeavingUpstream(world, start, true, now));
    removeExpiredLeavingUpstreams(world, now);
    world.arrivedRegistrations
      .takeAll()
      .forEach((received) => handleRegistration(world, received, now));
    world.arrivedDepartures.takeAll().forEach((received) => {
      const departure = resolveDeparture(world, received);
      sendToControlDaemons(world, { kind: 'upstreamDeparted', departure });
      handleDeparture(world, departure, now);
    });
    world.upstreamDepartures
      .takeDue('retention', now)
      .forEach(({ id }) => world.upstreamDepartures.remove(id));
    world.registrations.takeDue('report', now).forEach(({ id }) => {
      world.registrations.remove(id);
      world.metrics.count('registry.silent');
    });
  },
});
