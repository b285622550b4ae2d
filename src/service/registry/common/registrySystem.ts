/**
 * Takes reports of upstreams. A report that is older than what is known changes nothing; one of a new
 * start at an address ends the row of the start before it.
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
  ArrivedDeparture,
  Departure,
  Registration,
  RegistrationRow,
  RegistrationState,
  RegistryMessage,
} from './registryTables.js';

/** Reports come about every second and may be late by some; four missed ones end a row. */
const silenceMilliseconds = 5_000;

/**
 * An upstream that has not reported for this time gets new work only where no other can do it: reports come
 * about every 1.2 s, so one was missed and the next one is late.
 */
const overdueMilliseconds = 2_200;

/** Other daemons are told of a departure for this long: several heartbeats, as one may be lost. */
const tellingMilliseconds = 3_000;

/** Late reports of an upstream that has left come within this time. */
const goneMilliseconds = 20_000;

/** How long each state is kept without a further report. */
const retentionOf: Readonly<Record<RegistrationState, number>> = {
  ready: silenceMilliseconds,
  draining: silenceMilliseconds,
};

/** Whether the reports of an upstream have failed to come: it may have ended without a word. */
export const isOverdue = ({ reportDeadline }: RegistrationRow, now: Instant): boolean =>
  reportDeadline - silenceMilliseconds + overdueMilliseconds < now;

const hasLeft = (world: World, { upstream, startedAt }: Registration): boolean => {
  const departure = world.upstreamDepartures.get(asBrand<UpstreamId>(upstream));
  return departure !== undefined && startedAt <= departure.startedAt;
};

const isOlder = (registration: Registration, known: RegistrationRow): boolean => {
  if (registration.startedAt !== known.startedAt) return registration.startedAt < known.startedAt;
  return registration.sequence < known.sequence;
};

const endEarlierStarts = (world: World, row: RegistrationRow): void =>
  world.registrations
    .where('address', row.address)
    .filter((other) => other.id !== row.id && other.startedAt < row.startedAt)
    .forEach((other) => world.registrations.remove(other.id));

const isOutlived = (world: World, registration: Registration): boolean =>
  world.registrations
    .where('address', registration.address)
    .some(
      (other) => other.id !== registration.upstream && other.startedAt > registration.startedAt,
    );

const recordChange = (world: World, row: RegistrationRow, before?: RegistrationRow): void => {
  if (before?.state === row.state && before.startedAt === row.startedAt) return;
  const { id, state, address, service } = row;
  world.events.append({
    kind: EventKind.RegistrationChanged,
    subject: { upstream: id, state, address, service },
  });
};

const takeRegistration = (world: World, registration: Registration, now: Instant): void => {
  const { upstream, ...columns } = registration;
  const id = asBrand<UpstreamId>(upstream);
  const known = world.registrations.get(id);
  if (known !== undefined && isOlder(registration, known)) return;
  if (hasLeft(world, registration) || isOutlived(world, registration)) return;
  const isSameStart = known?.startedAt === registration.startedAt;
  const row = world.registrations.put({
    ...columns,
    id,
    reportDeadline: deadlineAfter(now, retentionOf[registration.state]),
    avoidDeadline: isSameStart ? known.avoidDeadline : Number.NEGATIVE_INFINITY,
    ownRunning: known?.ownRunning ?? 0,
  });
  endEarlierStarts(world, row);
  recordChange(world, row, known);
};

const othersOf = (world: World): DaemonRow[] =>
  [...world.daemons.rows()].filter(({ isSelf }) => !isSelf);

const tellOthers = (world: World, registration: Registration): void =>
  othersOf(world).forEach(({ id: to }) =>
    world.outgoingMessages.append({ to, message: { kind: 'upstreamRegistered', registration } }),
  );

const takeDeparture = (world: World, { upstream, startedAt }: Departure, now: Instant): void => {
  const id = asBrand<UpstreamId>(upstream);
  const before = world.upstreamDepartures.get(id);
  if (before !== undefined && before.startedAt >= startedAt) return;
  world.upstreamDepartures.put({
    id,
    startedAt,
    retentionDeadline: deadlineAfter(now, goneMilliseconds),
    tellingDeadline: deadlineAfter(now, tellingMilliseconds),
  });
  const known = world.registrations.get(id);
  if (known !== undefined && known.startedAt <= startedAt) world.registrations.remove(id);
  world.events.append({
    kind: EventKind.RegistrationChanged,
    subject: {
      upstream,
      state: 'gone',
      address: known?.address ?? '',
      service: known?.service ?? '',
    },
  });
};

/** An upstream that does not say when it started may be unknown here and known to other daemons. */
const departureOf = (world: World, { upstream, startedAt }: ArrivedDeparture): Departure => ({
  upstream,
  startedAt:
    startedAt ??
    world.registrations.get(asBrand<UpstreamId>(upstream))?.startedAt ??
    world.wallNow(),
});

/** Departures that other daemons are still told of. */
export const recentDepartures = (world: World, now: Instant): Departure[] =>
  [...world.upstreamDepartures.rows()]
    .filter(({ tellingDeadline }) => tellingDeadline > now)
    .map(({ id, startedAt }) => ({ upstream: id, startedAt }));

/** Takes the departures that a heartbeat names. */
export const hearOfDepartures = (
  world: World,
  departures: readonly Departure[],
  now: Instant,
): void => departures.forEach((departure) => takeDeparture(world, departure, now));

const tellOfDeparture = (world: World, departure: Departure): void =>
  othersOf(world).forEach(({ id: to }) =>
    world.outgoingMessages.append({ to, message: { kind: 'upstreamDeparted', departure } }),
  );

/** What a daemon does with the messages of the registry. */
export const registryHandlers: HandlerTable<RegistryMessage, void, [World, DaemonRow, Instant]> = {
  upstreamRegistered: ({ registration }, world) => {
    world.arrivedRegistrations.append({ registration, isDirect: false });
  },
  upstreamDeparted: ({ departure }, world, _, now) => takeDeparture(world, departure, now),
};

/** Creates the system of the registry. */
export const createRegistrySystem = (world: World): System => ({
  name: 'registry',
  run: (now) => {
    world.arrivedRegistrations.takeAll().forEach(({ registration, isDirect }) => {
      if (isDirect) tellOthers(world, registration);
      takeRegistration(world, registration, now);
    });
    world.arrivedDepartures.takeAll().forEach((arrived) => {
      const departure = departureOf(world, arrived);
      tellOfDeparture(world, departure);
      takeDeparture(world, departure, now);
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
