/**
 * Orders reclaimable upstreams for the services that declare a price for them, by the demand of the last
 * half minute. The leader alone gives orders, under its fencing number.
 */
import { asBrand } from '../../../base/common/brand.js';
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { leadershipOf, mayActAsLeader } from '../../consensus/common/lease.js';
import type {
  ScalingDeclaration,
  ServiceDeclaration,
} from '../../declaration/common/declaration.js';
import { declarationId } from '../../declaration/common/declarationTables.js';
import { findRoute } from '../../declaration/common/findRoute.js';
import { EventKind } from '../../events/common/eventKind.js';
import { RunState, type RunRow } from '../../jobs/common/jobTables.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { planCapacity, type SteadyCapacity } from './capacityPlan.js';
import {
  capacityOrderIdOf,
  type CapacityClockRow,
  type CapacityDemandRow,
  type CapacityFact,
  type CapacityOrderRow,
} from './capacityTables.js';

/** How often demand is looked at; items of one step come at once and stay for seconds. */
const checkMilliseconds = 500;

/** Demand is the most of the last one to two such stretches, several steps of a trainer. */
const peakMilliseconds = 15_000;

/** Before an order that was not accepted is given again; upstreams may be unavailable for seconds. */
const retryMilliseconds = 3_000;

/** Beyond the start of an upstream, until one that has not come is ordered again. */
const arrivalMarginMilliseconds = 4_000;

/**
 * Places that there shall be for each item asked for at once. Engines that load a version or leave give none
 * for seconds, and a trainer that catches up has two jobs open; a place costs far less than an item that is late.
 */
const placesForItem = 1.5;

const clockId: CapacityClockRow['id'] = asBrand('capacityClock');

interface ScaledService extends ServiceDeclaration {
  readonly scaling: ScalingDeclaration;
  readonly engineSlots: number;
}

const isScaled = (service: ServiceDeclaration): service is ScaledService =>
  service.engineSlots !== null && service.scaling?.reclaimablePrice != null;

const scaledServices = (world: World): ScaledService[] =>
  (world.declarations.get(declarationId)?.declaration.services ?? []).filter(isScaled);

const asksForService = (world: World, run: RunRow, service: string): boolean => {
  const job = world.jobs.get(run.job);
  const route = job === undefined ? undefined : findRoute(world, job.host, job.path);
  return route?.targets.some((target) => target.service === service) === true;
};

const presentDemand = (world: World, service: string): number =>
  [RunState.Waiting, RunState.Running]
    .flatMap((state) => world.runs.where('state', state))
    .filter((run) => asksForService(world, run, service)).length;

const noteDemand = (world: World, service: string, now: Instant): CapacityDemandRow => {
  const id: CapacityDemandRow['id'] = asBrand(service);
  const before = world.capacityDemands.get(id);
  const present = presentDemand(world, service);
  const isOver = before === undefined || before.rotationDeadline <= now;
  return world.capacityDemands.put({
    id,
    service,
    peak: Math.max(present, isOver ? 0 : before.peak),
    earlierPeak: isOver ? (before?.peak ?? null) : before.earlierPeak,
    rotationDeadline: isOver ? deadlineAfter(now, peakMilliseconds) : before.rotationDeadline,
  });
};

const upstreamsOf = (world: World, service: string): RegistrationRow[] =>
  [...world.registrations.rows()].filter((row) => row.service === service);

const countByZone = (rows: readonly RegistrationRow[]): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  rows.forEach(({ zone }) => counts.set(zone, (counts.get(zone) ?? 0) + 1));
  return counts;
};

const steadyOf = (rows: readonly RegistrationRow[], { engineSlots }: ScaledService) => {
  const steady = rows.filter(({ isReclaimable }) => !isReclaimable);
  const capacity: SteadyCapacity = {
    byZone: countByZone(steady),
    places: steady.length * engineSlots,
    placesEach: engineSlots,
  };
  return capacity;
};

const isSettled = ({ accepted }: CapacityOrderRow, count: number, present: number): boolean =>
  count === (accepted ?? 0) && present >= count;

/** Until when an upstream that was ordered, or is put in place of one that was reclaimed, should be there. */
const arrivalDeadline = ({ scaling }: ScaledService, now: Instant): Instant =>
  deadlineAfter(now, scaling.startMilliseconds + arrivalMarginMilliseconds);

/** Puts the order for a zone; one that stands is left to its own deadline. */
const putOrder = (
  world: World,
  service: ScaledService,
  zone: string,
  count: number,
  present: number,
  now: Instant,
): void => {
  const id = capacityOrderIdOf(service.name, zone);
  const before = world.capacityOrders.get(id);
  const { fencing } = leadershipOf(world);
  if (before === undefined) {
    if (count === 0) return;
    const fresh = { id, service: service.name, zone, count, accepted: null, fencing };
    world.capacityOrders.put({ ...fresh, isInFlight: false, sendDeadline: now });
    return;
  }
  if (before.isInFlight) return;
  const isChanged = before.count !== count;
  if (!isChanged && isSettled(before, count, present)) return;
  const sendDeadline = isChanged
    ? now
    : Math.min(before.sendDeadline, arrivalDeadline(service, now));
  world.capacityOrders.change(id, { count, fencing, sendDeadline });
};

const planService = (world: World, service: ScaledService, now: Instant): void => {
  const rows = upstreamsOf(world, service.name);
  const present = countByZone(rows.filter(({ isReclaimable }) => isReclaimable));
  const { peak, earlierPeak } = noteDemand(world, service.name, now);
  const demand = Math.ceil(Math.max(peak, earlierPeak ?? 0) * placesForItem);
  planCapacity(service.scaling, steadyOf(rows, service), demand).forEach((count, zone) => {
    const there = present.get(zone) ?? 0;
    // A new leader has not seen the demand for which its predecessor ordered.
    const least = earlierPeak === null ? there : 0;
    putOrder(world, service, zone, Math.max(count, least), there, now);
  });
};

const record = (world: World, row: CapacityOrderRow, outcome: string): void =>
  world.events.append({
    kind: EventKind.CapacityOrdered,
    subject: { service: row.service, zone: row.zone, count: row.count, outcome },
  });

const factHandlers: HandlerTable<CapacityFact, void, [World, CapacityOrderRow, Instant]> = {
  accepted: ({ count }, world, row, now) => {
    record(world, row, 'accepted');
    const service = scaledServices(world).find(({ name }) => name === row.service);
    const sendDeadline = service === undefined ? never : arrivalDeadline(service, now);
    world.capacityOrders.change(row.id, { accepted: count, isInFlight: false, sendDeadline });
  },
  failed: ({ reason }, world, row, now) => {
    record(world, row, reason);
    const sendDeadline = deadlineAfter(now, retryMilliseconds);
    world.capacityOrders.change(row.id, { isInFlight: false, sendDeadline });
  },
};

const takeFact = (world: World, fact: CapacityFact, now: Instant): void => {
  const row = world.capacityOrders.get(fact.id);
  if (row !== undefined) dispatchByKind(factHandlers, fact, world, row, now);
};

const presentIn = (world: World, { service, zone }: CapacityOrderRow): number =>
  upstreamsOf(world, service).filter((row) => row.isReclaimable && row.zone === zone).length;

/** Marks the orders that are due and not fulfilled; the port gives them while the lease holds. */
const sendDue = (world: World, now: Instant): void =>
  world.capacityOrders.takeDue('send', now).forEach((row) => {
    const isDone = isSettled(row, row.count, presentIn(world, row));
    world.capacityOrders.change(
      row.id,
      isDone ? { sendDeadline: never } : { isInFlight: true, fencing: leadershipOf(world).fencing },
    );
  });

const dropOwn = (world: World): void => {
  [...world.capacityOrders.rows()].forEach(({ id }) => world.capacityOrders.remove(id));
  [...world.capacityDemands.rows()].forEach(({ id }) => world.capacityDemands.remove(id));
};

/** Creates the system of capacity; where none is ordered it does nothing. */
export const createCapacitySystem = (world: World): System => {
  if (world.fleet.canOrderCapacity) world.capacityClock.put({ id: clockId, checkDeadline: 0 });
  return {
    name: 'capacity',
    run: (now) => {
      world.capacityFacts.takeAll().forEach((fact) => takeFact(world, fact, now));
      const isDue = world.capacityClock.takeDue('check', now).length > 0;
      const mayAct = mayActAsLeader(world, now);
      if (!mayAct) dropOwn(world);
      else sendDue(world, now);
      if (!isDue) return;
      const checkDeadline = deadlineAfter(now, checkMilliseconds);
      world.capacityClock.change(clockId, { checkDeadline });
      if (mayAct) scaledServices(world).forEach((service) => planService(world, service, now));
    },
  };
};
