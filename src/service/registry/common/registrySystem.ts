/**
 * Handles registration reports and departures of upstreams, and broadcasts those received directly
 * from an upstream to the other daemons. An outdated report is ignored; a report of a new start at
 * an address removes the row of the previous start. Runs each tick, and removes registrations whose
 * reports stop.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type {
  ReceivedDeparture,
  Departure,
  Registration,
  RegistrationRow,
  RegistrationState,
  RegistryMessage,
} from './registryTables.js';

/**
 * Reports arrive about every second and may be delayed; four missed reports remove the
 * registration.
 */
const reportTimeoutMilliseconds = 5_000;

/**
 * An upstream that has not reported for this time receives new work only if no other upstream can
 * run it. Reports arrive about every 1.2 s, so one report was missed and the next one is late.
 */
const overdueThresholdMilliseconds = 2_200;

/** Time for which heartbeats repeat a departure: several heartbeats, because one may be lost. */
const announcementMilliseconds = 3_000;

/** Late reports of a departed upstream arrive within this time. */
const departureRetentionMilliseconds = 20_000;

/** Time for which a registration is kept without a further report, by its state. */
const reportTimeoutsByState: Readonly<Record<RegistrationState, number>> = {
  ready: reportTimeoutMilliseconds,
  draining: reportTimeoutMilliseconds,
};

/**
 * Whether the reports of an upstream are overdue; it may have stopped without announcing its
 * departure.
 */
export const isOverdue = ({ reportDeadline }: RegistrationRow, now: Instant): boolean =>
  reportDeadline - reportTimeoutMilliseconds + overdueThresholdMilliseconds < now;

const hasDeparted = (world: World, { upstream, startedAt }: Registration): boolean => {
  const departure = world.upstreamDepartures.get(asBrand<UpstreamId>(upstream));
  return departure !== undefined && startedAt <= departure.startedAt;
};

const isOutdated = (registration: Registration, existing: RegistrationRow): boolean => {
  if (registration.startedAt !== existing.startedAt)
    return registration.startedAt < existing.startedAt;
  return registration.sequence < existing.sequence;
};

const removeEarlierStarts = (world: World, row: RegistrationRow): void =>
  world.registrations
    .where('address', row.address)
    .filter((other) => other.id !== row.id && other.startedAt < row.startedAt)
    .forEach((other) => world.registrations.remove(other.id));

const isReplaced = (world: World, registration: Registration): boolean =>
  world.registrations
    .where('address', registration.address)
    .some(
      (other) => other.id !== registration.upstream && other.startedAt > registration.startedAt,
    );

const recordRegistrationChange = (
  world: World,
  row: RegistrationRow,
  previous?: RegistrationRow,
): void => {
  if (previous?.state === row.state && previous.startedAt === row.startedAt) return;
  const { id, state, address, service } = row;
  world.events.append({
    kind: EventKind.RegistrationChanged,
    subject: { upstream: id, state, address, service },
  });
};

const handleRegistration = (world: World, registration: Registration, now: Instant): void => {
  const { upstream, ...fields } = registration;
  const id = asBrand<UpstreamId>(upstream);
  const existing = world.registrations.get(id);
  if (existing !== undefined && isOutdated(registration, existing)) return;
  if (hasDeparted(world, registration) || isReplaced(world, registration)) return;
  const isSameStart = existing?.startedAt === registration.startedAt;
  const row = world.registrations.put({
    ...fields,
    id,
    reportDeadline: deadlineAfter(now, reportTimeoutsByState[registration.state]),
    avoidDeadline: isSameStart ? existing.avoidDeadline : Number.NEGATIVE_INFINITY,
    ownRunning: existing?.ownRunning ?? 0,
  });
  removeEarlierStarts(world, row);
  recordRegistrationChange(world, row, existing);
};

const otherDaemons = (world: World): DaemonRow[] =>
  [...world.daemons.rows()].filter(({ isSelf }) => !isSelf);

const broadcastRegistration = (world: World, registration: Registration): void =>
  otherDaemons(world).forEach(({ id: to }) =>
    world.outgoingMessages.append({ to, message: { kind: 'upstreamRegistered', registration } }),
  );

const handleDeparture = (world: World, { upstream, startedAt }: Departure, now: Instant): void => {
  const id = asBrand<UpstreamId>(upstream);
  const existing = world.upstreamDepartures.get(id);
  if (existing !== undefined && existing.startedAt >= startedAt) return;
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

const broadcastDeparture = (world: World, departure: Departure): void =>
  otherDaemons(world).forEach(({ id: to }) =>
    world.outgoingMessages.append({ to, message: { kind: 'upstreamDeparted', departure } }),
  );

/** Handlers of the registry messages that other daemons send, by `kind`. */
export const registryHandlers: HandlerTable<RegistryMessage, void, [World, DaemonRow, Instant]> = {
  upstreamRegistered: ({ registration }, world) => {
    world.arrivedRegistrations.append({ registration, isDirect: false });
  },
  upstreamDeparted: ({ departure }, world, _, now) => handleDeparture(world, departure, now),
};

/** Creates the system that maintains the registry. */
export const createRegistrySystem = (world: World): System => ({
  name: 'registry',
  run: (now) => {
    world.arrivedRegistrations.takeAll().forEach(({ registration, isDirect }) => {
      if (isDirect) broadcastRegistration(world, registration);
      handleRegistration(world, registration, now);
    });
    world.arrivedDepartures.takeAll().forEach((received) => {
      const departure = resolveDeparture(world, received);
      broadcastDeparture(world, departure);
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
