/**
 * Brings engines to new weight versions. The engines are shared out between the models, so that a version
 * is loaded only on its share of them; a few load at once, and where jobs allow older versions, engines take
 * turns in loading the new one. The leader alone gives orders, and an
 * order whose outcome is unknown is judged by the next reports of the engine.
 */
import type { Instant, Milliseconds } from '../../../base/common/time.js';
import { deadlineAfter, never } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { leadershipOf, mayActAsLeader } from '../../consensus/common/lease.js';
import { findRoute } from '../../declaration/common/findRoute.js';
import { EventKind } from '../../events/common/eventKind.js';
import { JobState } from '../../jobs/common/jobTables.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { dueLoads } from './dueLoads.js';
import { enginesOf, heldVersion, lagOf, newestVersion } from './engines.js';
import { placeEngines } from './placement.js';
import {
  DuringSwap,
  type OrderName,
  type WeightOrderFact,
  type WeightOrderRow,
} from './versionTables.js';

/** Share of the engines that load at once; loads get slower beyond about a third. */
const loadShare = 0.3;

/** A load takes about a second, more while several load, and is seen with the next report. */
const loadMilliseconds = 6_000;

/** After this time an engine is asked whether it holds the version: the load time of the users' sheets. */
const firstTryMilliseconds = 900;

/** How soon an order whose outcome is unknown, or that was refused, may be given again. */
const repeatMilliseconds: Readonly<Record<WeightOrderFact['kind'], Milliseconds>> = {
  accepted: loadMilliseconds,
  held: 2_500,
  refused: 500,
  unknown: 2_500,
};

const closeFulfilled = (world: World): void =>
  [...world.weightOrders.rows()]
    .filter(({ id, model, version }) => {
      const row = world.registrations.get(id);
      return row === undefined || heldVersion(row, model) >= version;
    })
    .forEach(({ id }) => world.weightOrders.remove(id));

const duringSwapOf = (world: World, model: string): DuringSwap => {
  const isBound = world.jobs
    .where('state', JobState.Open)
    .filter((job) => job.model === model)
    .some(({ host, path }) => findRoute(world, host, path)?.isSingleVersion === true);
  return isBound ? DuringSwap.Finish : DuringSwap.Continue;
};

const give = (world: World, row: RegistrationRow, model: string, now: Instant): void => {
  const order: WeightOrderRow = {
    id: row.id,
    order: world.identifiers.next<OrderName>('weightOrder'),
    model,
    version: newestVersion(world, model),
    duringSwap: duringSwapOf(world, model),
    fencing: leadershipOf(world).fencing,
    loadedDeadline: never,
    orderDeadline: deadlineAfter(now, loadMilliseconds),
  };
  world.weightOrders.put(order);
};

/** The engines that are to load, those that can run least of what is asked for first. */
const enginesToLoad = (world: World): RegistrationRow[] => {
  const engines = enginesOf(world);
  const models = new Set(engines.map(({ id }) => world.placements.get(id)!.model));
  return [...models].flatMap((model) =>
    dueLoads(
      world,
      model,
      engines.filter(({ id }) => world.placements.get(id)!.model === model),
    ),
  );
};

const steadyCount = (world: World): number =>
  enginesOf(world).filter(({ isReclaimable }) => !isReclaimable).length;

/** Gives orders while few engines load; engines that may be reclaimed add nothing to that bound. */
const giveOrders = (world: World, now: Instant): void => {
  const maximumLoads = Math.max(1, Math.round(steadyCount(world) * loadShare));
  const lag = (row: RegistrationRow): number =>
    lagOf(world, row, world.placements.get(row.id)!.model);
  enginesToLoad(world)
    .filter(({ id }) => !world.weightOrders.has(id))
    .sort((first, second) => lag(second) - lag(first))
    .slice(0, Math.max(0, maximumLoads - world.weightOrders.size()))
    .forEach((row) => give(world, row, world.placements.get(row.id)!.model, now));
};

const takeFact = (world: World, fact: WeightOrderFact, now: Instant): void => {
  const order = world.weightOrders.get(fact.upstream);
  if (order?.order !== fact.order) return;
  const orderDeadline = deadlineAfter(now, repeatMilliseconds[fact.kind]);
  const isAccepted = fact.kind === 'accepted' || fact.kind === 'held';
  const loadedDeadline = isAccepted ? deadlineAfter(now, firstTryMilliseconds) : never;
  world.weightOrders.change(order.id, { orderDeadline, loadedDeadline });
  world.events.append({
    kind: EventKind.WeightOrderEnded,
    subject: {
      upstream: order.id,
      model: order.model,
      version: order.version,
      outcome: fact.kind,
    },
  });
};

const dropOwn = (world: World): void => {
  [...world.weightOrders.rows()].forEach(({ id }) => world.weightOrders.remove(id));
  [...world.placements.rows()].forEach(({ id }) => world.placements.remove(id));
};

/** Creates the system of weights. */
export const createWeightSystem = (world: World): System => {
  const changes = [
    world.registrations.createChangeReader(),
    world.modelVersions.createChangeReader(),
    world.weightOrders.createChangeReader(),
    world.jobs.createChangeReader(),
  ];
  let isActing = false;

  const run = (now: Instant): void => {
    world.weightOrderFacts.takeAll().forEach((fact) => takeFact(world, fact, now));
    const expired = world.weightOrders.takeDue('order', now);
    const wasActing = isActing;
    isActing = mayActAsLeader(world, now);
    const hasChanges = changes.map((reader) => reader.take().length > 0).includes(true);
    if (!isActing) {
      if (wasActing) dropOwn(world);
      return;
    }
    if (wasActing && !hasChanges && expired.length === 0) return;
    expired.forEach(({ id }) => world.weightOrders.remove(id));
    closeFulfilled(world);
    placeEngines(world, enginesOf(world));
    giveOrders(world, now);
  };

  return { name: 'weight', run };
};
