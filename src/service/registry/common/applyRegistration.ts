/**
 * Applies registrations to the table: those that upstreams report, and those that other daemons
 * send. An outdated report is ignored; a report of a new start at an address removes the row of the
 * previous start. A report for a service that is not declared never takes the place of one for a
 * declared service, at the same address or under the same identifier: it may be another writer's.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { ValueOf } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import { isServiceDeclared } from '../../declaration/common/findRoute.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { effectiveStateOf } from './leavingUpstreams.js';
import { coldColumnsOf } from './coldColumns.js';
import { reportTimeoutsByState, routingFieldsOf } from './registrations.js';
import type { Registration, RegistrationRow } from './registryTables.js';

/**
 * Time for which a registration is kept after it has left the list of the list source. Another
 * source lists it by then if only the previous one lost contact with it.
 */
const unlistedMilliseconds: Milliseconds = 1_500;

const hasDeparted = (world: World, { upstream, startedAt }: Registration): boolean => {
  const departure = world.upstreamDepartures.get(asBrand<UpstreamId>(upstream));
  return departure !== undefined && startedAt <= departure.startedAt;
};

/**
 * Whether a registration names an upstream to use and another one does not, because only the
 * service of the first is declared. Which of them is newer does not matter then.
 */
const hasPrecedence = (
  world: World,
  first: Pick<Registration, 'service'>,
  second: Pick<Registration, 'service'>,
): boolean =>
  first.service !== second.service &&
  isServiceDeclared(world, first.service) &&
  !isServiceDeclared(world, second.service);

const isOutdated = (registration: Registration, existing: RegistrationRow): boolean => {
  if (registration.startedAt !== existing.startedAt)
    return registration.startedAt < existing.startedAt;
  return registration.sequence < existing.sequence;
};

/** Whether a row that stays in place makes a registration of the same upstream void. */
const isSuperseded = (
  world: World,
  registration: Registration,
  existing: RegistrationRow | undefined,
): boolean => {
  if (existing === undefined || hasPrecedence(world, registration, existing)) return false;
  return hasPrecedence(world, existing, registration) || isOutdated(registration, existing);
};

const removeEarlierStarts = (world: World, row: RegistrationRow): void =>
  world.registrations
    .where('address', row.address)
    .filter((other) => other.id !== row.id && other.startedAt < row.startedAt)
    .forEach((other) => world.registrations.remove(other.id));

/** Whether another upstream at the address of a registration makes it void. */
const isReplaced = (world: World, registration: Registration): boolean =>
  world.registrations
    .where('address', registration.address)
    .some(
      (other) =>
        other.id !== registration.upstream &&
        !hasPrecedence(world, registration, other) &&
        (hasPrecedence(world, other, registration) || other.startedAt > registration.startedAt),
    );

const recordRegistrationChange = (
  world: World,
  row: RegistrationRow,
  previous?: RegistrationRow,
): void => {
  if (previous?.state === row.state && previous.startedAt === row.startedAt) return;
  const { id, state, address, service, softwareVersion } = row;
  world.events.append({
    kind: EventKind.RegistrationChanged,
    subject: { upstream: id, state, address, service, softwareVersion },
  });
};

const modelFieldsOf = ({ models }: Pick<Registration, 'models'>): string =>
  models.map(({ name, version }) => `${name}=${version}`).join('|');

/** How a registration differs from the previous one of the same upstream. */
export const RegistrationDifference = {
  /** It has the same columns, or it was ignored. */
  None: 'none',
  /** Only its models differ. */
  Models: 'models',
  /** Columns that decide where requests are sent differ. */
  Routing: 'routing',
} as const;
export type RegistrationDifference = ValueOf<typeof RegistrationDifference>;

const compareRows = (
  previous: RegistrationRow | undefined,
  row: RegistrationRow,
): RegistrationDifference => {
  if (previous === undefined || routingFieldsOf(previous) !== routingFieldsOf(row))
    return RegistrationDifference.Routing;
  return modelFieldsOf(previous) === modelFieldsOf(row)
    ? RegistrationDifference.None
    : RegistrationDifference.Models;
};

/** Applies a registration and returns how it differs from the previous one. */
export const applyRegistration = (
  world: World,
  registration: Registration,
  now: Instant,
): RegistrationDifference => {
  const { upstream, coldMilliseconds, ...fields } = registration;
  const id = asBrand<UpstreamId>(upstream);
  const existing = world.registrations.get(id);
  const isIgnored =
    isSuperseded(world, registration, existing) ||
    hasDeparted(world, registration) ||
    isReplaced(world, registration);
  if (isIgnored) return RegistrationDifference.None;
  const isSameStart = existing?.startedAt === registration.startedAt;
  const row = world.registrations.put({
    ...fields,
    id,
    softwareVersion: fields.softwareVersion ?? (isSameStart ? existing.softwareVersion : null),
    state: effectiveStateOf(world, registration),
    reportDeadline: deadlineAfter(now, reportTimeoutsByState[registration.state]),
    repeatDeadline: existing?.repeatDeadline ?? Number.NEGATIVE_INFINITY,
    isListed: existing?.isListed ?? false,
    avoidDeadline: isSameStart ? existing.avoidDeadline : Number.NEGATIVE_INFINITY,
    ownRunning: existing?.ownRunning ?? 0,
    ...coldColumnsOf(world, coldMilliseconds, isSameStart ? existing : undefined, now),
  });
  removeEarlierStarts(world, row);
  recordRegistrationChange(world, row, existing);
  return compareRows(existing, row);
};

const extendListed = (world: World, { id, state }: RegistrationRow, now: Instant): void => {
  const reportDeadline = deadlineAfter(now, reportTimeoutsByState[state]);
  world.registrations.change(id, { isListed: true, reportDeadline });
};

const handleUnlisted = (
  world: World,
  { id, reportDeadline }: RegistrationRow,
  now: Instant,
): void => {
  const unlistedDeadline = deadlineAfter(now, unlistedMilliseconds);
  world.registrations.change(id, {
    isListed: false,
    reportDeadline: Math.min(reportDeadline, unlistedDeadline),
  });
};

/**
 * Applies the list of registrations of the list source. A registration that has left the list is
 * kept for a short time, because the source may have lost contact with other control daemons.
 */
export const handleListedRegistrations = (
  world: World,
  registrations: readonly Registration[],
  now: Instant,
): void => {
  const listedIds = new Set<string>(registrations.map(({ upstream }) => upstream));
  [...world.registrations.rows()]
    .filter(({ id, isListed }) => isListed && !listedIds.has(id))
    .forEach((row) => handleUnlisted(world, row, now));
  registrations.forEach((registration) => {
    applyRegistration(world, registration, now);
    const row = world.registrations.get(asBrand<UpstreamId>(registration.upstream));
    if (row !== undefined) extendListed(world, row, now);
  });
};

/** Extends the registrations of the list that this daemon holds. */
export const extendRegistrations = (world: World, now: Instant): void =>
  [...world.registrations.rows()]
    .filter(({ isListed }) => isListed)
    .forEach((row) => extendListed(world, row, now));
