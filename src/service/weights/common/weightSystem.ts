/**
 * Orders engines to load new weight versions. The engines are distributed among the models, and a
 * version is loaded only on the engines of its model. Only a limited number of engines load at
 * once, and where jobs allow older versions, only a part of the engines loads each new one. Only
 * the leader creates orders; if the outcome of an order is unknown, the next reports of the engine
 * decide whether another one is created. The state of the engine is read before an order is sent, so
 * that orders of an earlier leader that wait in a stopped engine are read before it.
 */
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import type { Instant, Milliseconds } from '../../../base/common/time.js';
import { deadlineAfter, never } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { leadershipOf, canActAsLeader } from '../../consensus/common/lease.js';
import { findRoute } from '../../declaration/common/findRoute.js';
import { EventKind } from '../../events/common/eventKind.js';
import { JobState } from '../../jobs/common/jobTables.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { selectModelEnginesToLoad } from './dueLoads.js';
import { loadableEnginesOf, heldVersion, versionLagOf, newestVersion } from './engines.js';
import { placeEngines } from './placement.js';
import {
  InFlightPolicy,
  WeightOrderPhase,
  type WeightOrderName,
  type WeightOrderFact,
  type WeightOrderOutcome,
  type WeightOrderRow,
} from './versionTables.js';

/** Share of the engines that may load at once; loads get slower beyond about a third. */
const maximumLoadingShare = 0.3;

/**
 * Time until an unanswered or accepted order expires. A load takes about a second, longer while
 * several engines load, and becomes visible with the next report.
 */
const loadTimeoutMilliseconds = 6_000;

/** Load time given by the specification; afterwards the engine is offered work for the version. */
const expectedLoadMilliseconds = 900;

/** Time until an order expires and may be sent again, by its outcome. */
const orderRetryMilliseconds: Readonly<
  Record<WeightOrderOutcome | 'notRead' | 'busy', Milliseconds>
> = {
  accepted: loadTimeoutMilliseconds,
  held: 2_500,
  refused: 500,
  unknown: 2_500,
  notRead: 500,
  busy: 500,
};

const removeFulfilledOrders = (world: World): void =>
  [...world.weightOrders.rows()]
    .filter(({ id, model, version }) => {
      const row = world.registrations.get(id);
      return row === undefined || heldVersion(row, model) >= version;
    })
    .forEach(({ id }) => world.weightOrders.remove(id));

const inFlightPolicyOf = (world: World, model: string): InFlightPolicy => {
  const hasSingleVersionJob = world.jobs
    .where('state', JobState.Open)
    .filter((job) => job.model === model)
    .some(({ host, path }) => findRoute(world, host, path)?.isSingleVersion === true);
  return hasSingleVersionJob ? InFlightPolicy.Finish : InFlightPolicy.Continue;
};

const putOrder = (world: World, row: RegistrationRow, model: string, now: Instant): void => {
  const order: WeightOrderRow = {
    id: row.id,
    order: world.identifiers.next<WeightOrderName>('weightOrder'),
    phase: WeightOrderPhase.Read,
    acceptedOrders: 0,
    model,
    version: newestVersion(world, model),
    inFlightPolicy: inFlightPolicyOf(world, model),
    fencing: leadershipOf(world).fencing,
    loadedDeadline: never,
    orderDeadline: deadlineAfter(now, loadTimeoutMilliseconds),
  };
  world.weightOrders.put(order);
};

/** Returns the engines that should load the newest version of their model. */
const selectEnginesToLoad = (world: World): RegistrationRow[] => {
  const engines = loadableEnginesOf(world);
  const models = new Set(engines.map(({ id }) => world.placements.get(id)!.model));
  return [...models].flatMap((model) =>
    selectModelEnginesToLoad(
      world,
      model,
      engines.filter(({ id }) => world.placements.get(id)!.model === model),
    ),
  );
};

const nonReclaimableCount = (world: World): number =>
  loadableEnginesOf(world).filter(({ isReclaimable }) => !isReclaimable).length;

/**
 * Creates orders while fewer engines load than the maximum, for those that lag most first.
 * Reclaimable engines do not raise the maximum.
 */
const putOrders = (world: World, now: Instant): void => {
  const maximumLoads = Math.max(1, Math.round(nonReclaimableCount(world) * maximumLoadingShare));
  const lag = (row: RegistrationRow): number =>
    versionLagOf(world, row, world.placements.get(row.id)!.model);
  selectEnginesToLoad(world)
    .filter(({ id }) => !world.weightOrders.has(id))
    .sort((first, second) => lag(second) - lag(first))
    .slice(0, Math.max(0, maximumLoads - world.weightOrders.size()))
    .forEach((row) => putOrder(world, row, world.placements.get(row.id)!.model, now));
};

/** Sets the time at which an order expires by its outcome, and records the outcome. */
const endAttempt = (
  world: World,
  { id: upstream, order, model, version, fencing }: WeightOrderRow,
  outcome: keyof typeof orderRetryMilliseconds,
  now: Instant,
): void => {
  const orderDeadline = deadlineAfter(now, orderRetryMilliseconds[outcome]);
  world.weightOrders.change(upstream, { orderDeadline });
  world.events.append({
    kind: EventKind.WeightOrderEnded,
    subject: { upstream, order, model, version, fencing, outcome },
  });
};

const endLoading = (
  { kind }: { readonly kind: WeightOrderOutcome },
  world: World,
  row: WeightOrderRow,
  now: Instant,
): void => {
  endAttempt(world, row, kind, now);
  world.weightOrders.change(row.id, {
    loadedDeadline: deadlineAfter(now, expectedLoadMilliseconds),
  });
};

const endWithoutLoading = (
  { kind }: { readonly kind: WeightOrderOutcome | 'notRead' },
  world: World,
  row: WeightOrderRow,
  now: Instant,
): void => {
  endAttempt(world, row, kind, now);
  world.weightOrders.change(row.id, { loadedDeadline: never });
};

const weightOrderFactHandlers: HandlerTable<
  WeightOrderFact,
  void,
  [World, WeightOrderRow, Instant]
> = {
  read: ({ acceptedOrders, isBusy }, world, row, now) => {
    if (isBusy) endAttempt(world, row, 'busy', now);
    else world.weightOrders.change(row.id, { phase: WeightOrderPhase.Send, acceptedOrders });
  },
  notRead: endWithoutLoading,
  accepted: endLoading,
  held: endLoading,
  refused: endWithoutLoading,
  unknown: endWithoutLoading,
};

const handleWeightOrderFact = (world: World, fact: WeightOrderFact, now: Instant): void => {
  const row = world.weightOrders.get(fact.upstream);
  if (row?.order !== fact.order) return;
  dispatchByKind(weightOrderFactHandlers, fact, world, row, now);
};

const removeLeaderRows = (world: World): void => {
  [...world.weightOrders.rows()].forEach(({ id }) => world.weightOrders.remove(id));
  [...world.placements.rows()].forEach(({ id }) => world.placements.remove(id));
};

/** Creates the system that sends weight orders. */
export const createWeightSystem = (world: World): System => {
  const changeReaders = [
    world.registrations.createChangeReader(),
    world.modelVersions.createChangeReader(),
    world.weightOrders.createChangeReader(),
    world.jobs.createChangeReader(),
    world.evacuations.createChangeReader(),
  ];
  let isLeader = false;

  const run = (now: Instant): void => {
    world.weightOrderFacts.takeAll().forEach((fact) => handleWeightOrderFact(world, fact, now));
    const expiredOrders = world.weightOrders.takeDue('order', now);
    const wasLeader = isLeader;
    isLeader = canActAsLeader(world, now);
    const hasChanges = changeReaders.map((reader) => reader.take().length > 0).includes(true);
    if (!isLeader) {
      if (wasLeader) removeLeaderRows(world);
      return;
    }
    if (wasLeader && !hasChanges && expiredOrders.length === 0) return;
    expiredOrders.forEach(({ id }) => world.weightOrders.remove(id));
    removeFulfilledOrders(world);
    placeEngines(world, loadableEnginesOf(world));
    putOrders(world, now);
  };

  return { name: 'weight', run };
};
