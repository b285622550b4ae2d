/**
 * Orders reclaimable upstreams for the services that declare a price for them, based on the peak
 * demand of the last 15 to 30 seconds. Demand with home regions is measured apart, and upstreams for
 * it are ordered only in their zones. Runs each tick, and replans at fixed intervals. Only the
 * leader may order, and each order carries its fencing token.
 */
import { asBrand } from '../../../base/common/brand.js';
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { leadershipOf, canActAsLeader } from '../../consensus/common/lease.js';
import type {
  ScalingDeclaration,
  ServiceDeclaration,
} from '../../declaration/common/declaration.js';
import { declarationId } from '../../declaration/common/declarationTables.js';
import { EventKind } from '../../events/common/eventKind.js';
import { isPlaceAllowed, isZoneEvacuated } from '../../places/common/eligibility.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { recordDemands } from './capacityDemand.js';
import { planCapacityByZones, type NonReclaimableCapacity } from './capacityPlan.js';
import {
  capacityOrderIdOf,
  type CapacityClockRow,
  type CapacityOrderFact,
  type CapacityOrderRow,
} from './capacityTables.js';

/**
 * Interval of measuring demand; the items of one training step arrive together and run for seconds.
 */
const checkIntervalMilliseconds = 500;

/**
 * Delay before an order that was not accepted is retried; upstreams may be unavailable for seconds.
 */
const retryDelayMilliseconds = 3_000;

/**
 * Time beyond the declared start time after which an upstream that has not registered is reordered.
 */
const arrivalMarginMilliseconds = 4_000;

/**
 * Target number of slots per concurrent item. Engines that load a weight version or shut down
 * provide no slots for seconds, and a trainer that catches up has two open jobs; a slot costs far
 * less than a late item.
 */
const slotsPerItem = 1.5;

const clockId: CapacityClockRow['id'] = asBrand('capacityClock');

interface ScaledService extends ServiceDeclaration {
  readonly scaling: ScalingDeclaration;
  readonly engineSlots: number;
}

const isScaled = (service: ServiceDeclaration): service is ScaledService =>
  service.engineSlots !== null && service.scaling?.reclaimablePrice != null;

const scaledServices = (world: World): ScaledService[] =>
  (world.declarations.get(declarationId)?.declaration.services ?? []).filter(isScaled);

const upstreamsOf = (world: World, service: string): RegistrationRow[] =>
  [...world.registrations.rows()].filter((row) => row.service === service);

const countByZone = (rows: readonly RegistrationRow[]): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  rows.forEach(({ zone }) => counts.set(zone, (counts.get(zone) ?? 0) + 1));
  return counts;
};

const computeNonReclaimableCapacity = (
  rows: readonly RegistrationRow[],
  { engineSlots }: ScaledService,
) => {
  const nonReclaimable = rows.filter(({ isReclaimable }) => !isReclaimable);
  const capacity: NonReclaimableCapacity = {
    byZone: countByZone(nonReclaimable),
    concurrentRequestsPerUpstream: engineSlots,
  };
  return capacity;
};

const isFulfilled = ({ accepted }: CapacityOrderRow, count: number, present: number): boolean =>
  count === (accepted ?? 0) && present >= count;

/**
 * Returns the time by which an upstream that is ordered now, or that replaces a reclaimed one,
 * should have registered.
 */
const computeArrivalDeadline = ({ scaling }: ScaledService, now: Instant): Instant =>
  deadlineAfter(now, scaling.startMilliseconds + arrivalMarginMilliseconds);

/**
 * Creates or updates the order for a zone; an order in flight or already fulfilled is left
 * unchanged.
 */
const putOrder = (
  world: World,
  service: ScaledService,
  zone: string,
  count: number,
  present: number,
  now: Instant,
): void => {
  const id = capacityOrderIdOf(service.name, zone);
  const existing = world.capacityOrders.get(id);
  const { fencing } = leadershipOf(world);
  if (existing === undefined) {
    if (count === 0) return;
    const newOrder = { id, service: service.name, zone, count, accepted: null, fencing };
    world.capacityOrders.put({ ...newOrder, isInFlight: false, sendDeadline: now });
    return;
  }
  if (existing.isInFlight) return;
  const isChanged = existing.count !== count;
  if (!isChanged && isFulfilled(existing, count, present)) return;
  const sendDeadline = isChanged
    ? now
    : Math.min(existing.sendDeadline, computeArrivalDeadline(service, now));
  world.capacityOrders.change(id, { count, fencing, sendDeadline });
};

const planService = (world: World, service: ScaledService, now: Instant): void => {
  const rows = upstreamsOf(world, service.name);
  const present = countByZone(rows.filter(({ isReclaimable }) => isReclaimable));
  const demandRows = recordDemands(world, service.name, now);
  const isFirstWindow = demandRows.some(
    ({ homes, earlierPeak }) => homes === null && earlierPeak === null,
  );
  const demands = demandRows.map(({ homes, peak, earlierPeak }) => ({
    demand: Math.ceil(Math.max(peak, earlierPeak ?? 0) * slotsPerItem),
    isZoneAllowed: (zone: string) => isPlaceAllowed(world, { zone }, homes),
  }));
  const capacity = computeNonReclaimableCapacity(rows, service);
  planCapacityByZones(service.scaling, capacity, demands).forEach((planned, zone) => {
    const presentCount = present.get(zone) ?? 0;
    // In its first window a new leader has not yet observed the demand for which its predecessor
    // ordered.
    const minimum = isFirstWindow ? presentCount : 0;
    // Nothing is to start in an evacuated zone, and a lower order could stop upstreams that run requests.
    if (isZoneEvacuated(world, zone)) return;
    putOrder(world, service, zone, Math.max(planned, minimum), presentCount, now);
  });
};

const recordOrderOutcome = (
  world: World,
  { service, zone, count, fencing }: CapacityOrderRow,
  outcome: string,
): void =>
  world.events.append({
    kind: EventKind.CapacityOrdered,
    subject: { service, zone, count, fencing, outcome },
  });

const capacityFactHandlers: HandlerTable<
  CapacityOrderFact,
  void,
  [World, CapacityOrderRow, Instant]
> = {
  accepted: ({ count }, world, row, now) => {
    recordOrderOutcome(world, row, 'accepted');
    const service = scaledServices(world).find(({ name }) => name === row.service);
    const sendDeadline = service === undefined ? never : computeArrivalDeadline(service, now);
    world.capacityOrders.change(row.id, { accepted: count, isInFlight: false, sendDeadline });
  },
  failed: ({ reason }, world, row, now) => {
    recordOrderOutcome(world, row, reason);
    const sendDeadline = deadlineAfter(now, retryDelayMilliseconds);
    world.capacityOrders.change(row.id, { isInFlight: false, sendDeadline });
  },
};

const handleCapacityFact = (world: World, fact: CapacityOrderFact, now: Instant): void => {
  const row = world.capacityOrders.get(fact.id);
  if (row !== undefined) dispatchByKind(capacityFactHandlers, fact, world, row, now);
};

const countPresentIn = (world: World, { service, zone }: CapacityOrderRow): number =>
  upstreamsOf(world, service).filter((row) => row.isReclaimable && row.zone === zone).length;

/**
 * Marks unfulfilled due orders as in flight; the port sends them while the leader's lease is valid.
 * Orders for evacuated zones wait: a higher count would start upstreams there, and a lower one could
 * stop those that still run requests.
 */
const markDueOrders = (world: World, now: Instant): void =>
  world.capacityOrders.takeDue('send', now).forEach((row) => {
    if (isZoneEvacuated(world, row.zone)) {
      const sendDeadline = deadlineAfter(now, checkIntervalMilliseconds);
      world.capacityOrders.change(row.id, { sendDeadline });
      return;
    }
    const hasArrived = isFulfilled(row, row.count, countPresentIn(world, row));
    world.capacityOrders.change(
      row.id,
      hasArrived
        ? { sendDeadline: never }
        : { isInFlight: true, fencing: leadershipOf(world).fencing },
    );
  });

const removeLeaderRows = (world: World): void => {
  [...world.capacityOrders.rows()].forEach(({ id }) => world.capacityOrders.remove(id));
  [...world.capacityDemands.rows()].forEach(({ id }) => world.capacityDemands.remove(id));
};

/**
 * Creates the system that orders capacity; it is inactive if the installation does not order any.
 */
export const createCapacitySystem = (world: World): System => {
  if (world.fleet.canOrderCapacity) world.capacityClock.put({ id: clockId, checkDeadline: 0 });
  return {
    name: 'capacity',
    run: (now) => {
      world.capacityFacts.takeAll().forEach((fact) => handleCapacityFact(world, fact, now));
      const isDue = world.capacityClock.takeDue('check', now).length > 0;
      const canAct = canActAsLeader(world, now);
      if (!canAct) removeLeaderRows(world);
      else markDueOrders(world, now);
      if (!isDue) return;
      const checkDeadline = deadlineAfter(now, checkIntervalMilliseconds);
      world.capacityClock.change(clockId, { checkDeadline });
      if (canAct) scaledServices(world).forEach((service) => planService(world, service, now));
    },
  };
};
