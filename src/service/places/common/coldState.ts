/**
 * Decides whether an upstream counts as cold. Only upstreams of services that declare cold starts
 * do, and only where the settings limit requests to them. A daemon that does not know takes the
 * upstream for cold, because it can lose contact with those who know.
 */
import { asBrand } from '../../../base/common/brand.js';
import {
  deadlineAfter,
  never,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import { declarationId } from '../../declaration/common/declarationTables.js';
import { isOverdue, overdueThresholdMilliseconds } from '../../registry/common/registrySystem.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import type { ColdLimits } from './coldBudget.js';
import type { ColdClockRow, ColdZoneRow } from './coldTables.js';

/** What a service declares of cold starts, with the limit of the settings. */
export interface ServiceColdLimits extends ColdLimits {
  /** Time for which an upstream is cold after its start. */
  readonly milliseconds: Milliseconds;
}

/** Returns the limits of a service; undefined if its upstreams are not limited while cold. */
export const coldLimitsOf = (world: World, service: string): ServiceColdLimits | undefined => {
  const { coldLimit } = world.fleet.places;
  if (coldLimit === null) return undefined;
  const coldStart = world.declarations
    .get(declarationId)
    ?.declaration.services.find(({ name }) => name === service)?.coldStart;
  if (coldStart === null || coldStart === undefined) return undefined;
  if (coldStart.milliseconds <= 0 || coldStart.requestsPerSecond <= 0) return undefined;
  return { ...coldStart, ...coldLimit };
};

/** The columns of a registration that tell how long the upstream is cold. */
export type ColdColumns = Pick<
  RegistrationRow,
  'reportDeadline' | 'coldDeadline' | 'isColdReported' | 'firstHeardAt'
>;

/**
 * Returns the time until which an upstream counts as cold; `never` if only a report can end it.
 * `zoneColdSince` is the time at which its zone was marked as cold, or negative infinity.
 */
export const computeColdEnd = (
  row: ColdColumns,
  zoneColdSince: Instant,
  milliseconds: Milliseconds,
  now: Instant,
): Instant => {
  if (isOverdue(row, now)) return never;
  const presumedEnd = row.isColdReported
    ? Number.NEGATIVE_INFINITY
    : row.firstHeardAt + milliseconds;
  return Math.max(row.coldDeadline, presumedEnd, zoneColdSince + milliseconds);
};

/** Time without a tick after which a daemon was suspended: heartbeats cause two ticks a second. */
const suspensionMilliseconds: Milliseconds = 1_000;

/** Time in which a daemon reads the messages that arrived while it was suspended. */
const backlogMilliseconds: Milliseconds = 300;

/**
 * Time after a suspension for which a daemon trusts no report. Those that arrived meanwhile look
 * like new ones when they are read; if no later one arrives, they are overdue after this time.
 */
const doubtMilliseconds: Milliseconds = overdueThresholdMilliseconds + backlogMilliseconds;

const coldClockId: ColdClockRow['id'] = asBrand('coldClock');

/** Returns the time until which this daemon cannot trust what it knows of upstreams. */
const doubtDeadlineOf = (world: World, now: Instant): Instant => {
  const clock = world.coldClocks.get(coldClockId);
  if (clock === undefined) return Number.NEGATIVE_INFINITY;
  return now - clock.lastRunAt > suspensionMilliseconds
    ? deadlineAfter(now, doubtMilliseconds)
    : clock.doubtDeadline;
};

/** Notes that the daemon runs; returns whether it was suspended before. */
export const updateColdClock = (world: World, now: Instant): boolean => {
  const previous = world.coldClocks.get(coldClockId);
  const doubtDeadline = doubtDeadlineOf(world, now);
  world.coldClocks.put({ id: coldClockId, lastRunAt: now, doubtDeadline });
  return previous !== undefined && doubtDeadline > previous.doubtDeadline;
};

const coldZoneIdOf = (zone: string): ColdZoneRow['id'] => asBrand(zone);

/** Returns the time until which a registered upstream counts as cold, for a service with limits. */
export const coldEndOf = (
  world: World,
  row: RegistrationRow,
  { milliseconds }: ServiceColdLimits,
  now: Instant,
): Instant => {
  const zone = world.coldZones.get(coldZoneIdOf(row.zone));
  const zoneColdSince = zone?.coldSince ?? Number.NEGATIVE_INFINITY;
  return Math.max(
    doubtDeadlineOf(world, now),
    computeColdEnd(row, zoneColdSince, milliseconds, now),
  );
};

/**
 * Makes the upstreams of a zone count as cold for the time that their services declare, whatever
 * their reports say. Called when an evacuation is withdrawn: they may have become cold without
 * requests.
 */
export const markZoneCold = (world: World, zone: string, now: Instant): void => {
  if (world.fleet.places.coldLimit === null) return;
  world.coldZones.put({ id: coldZoneIdOf(zone), coldSince: now });
};
