/**
 * Shares the engines out between models in proportion to what their jobs ask for, and moves an engine
 * only where a model lacks a whole one.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { Milliseconds } from '../../../base/common/time.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { lagOf } from './engines.js';

/** Demand is taken over several steps of a trainer, so that engines do not move with each step. */
const demandMilliseconds: Milliseconds = 20_000;

/** Engines by which a model must be off its share before one moves. */
const lackToMove = 0.75;

type Shares = ReadonlyMap<string, number>;

const demandOf = (world: World): Shares => {
  const since = world.wallNow() - demandMilliseconds;
  const demand = new Map<string, number>();
  [...world.jobs.rows()]
    .filter(({ submittedAt }) => submittedAt >= since)
    .forEach(({ model, tokens }) => demand.set(model, (demand.get(model) ?? 0) + tokens));
  return demand;
};

/** How many engines each model should have, not rounded; all share alike while nothing is asked for. */
const sharesOf = (models: readonly string[], demand: Shares, engines: number): Shares => {
  const sum = models.reduce((total, model) => total + (demand.get(model) ?? 0), 0);
  return new Map(
    models.map((model) => [
      model,
      sum === 0 ? engines / models.length : ((demand.get(model) ?? 0) / sum) * engines,
    ]),
  );
};

/** By how many engines a model is below its share. */
const deficitOf = (world: World, shares: Shares, model: string): number =>
  (shares.get(model) ?? 0) - world.placements.count('model', model);

const mostLacking = (world: World, shares: Shares, models: readonly string[]): string =>
  models.reduce((most, model) =>
    deficitOf(world, shares, model) > deficitOf(world, shares, most) ? model : most,
  );

const modelsOf = (engines: readonly RegistrationRow[]): string[] => [
  ...new Set(engines.flatMap(({ models }) => models.map(({ name }) => name))),
];

const placeNew = (world: World, shares: Shares, row: RegistrationRow): void => {
  const models = row.models.map(({ name }) => name);
  const nearest = [...models].sort(
    (first, second) => lagOf(world, row, first) - lagOf(world, row, second),
  );
  world.placements.put({ id: row.id, model: mostLacking(world, shares, nearest) });
};

/** Moves one engine from the model with the most to spare to the one that lacks the most. */
const moveOne = (
  world: World,
  shares: Shares,
  engines: readonly RegistrationRow[],
  models: readonly string[],
): void => {
  const lacking = mostLacking(world, shares, models);
  const spare = models.reduce((least, model) =>
    deficitOf(world, shares, model) < deficitOf(world, shares, least) ? model : least,
  );
  const isDue =
    deficitOf(world, shares, lacking) >= lackToMove &&
    deficitOf(world, shares, spare) <= -lackToMove &&
    world.placements.count('model', spare) > 1;
  const moved = engines.find(
    ({ id, models: held }) =>
      world.placements.get(id)?.model === spare && held.some(({ name }) => name === lacking),
  );
  if (isDue && moved !== undefined) {
    world.placements.put({ id: moved.id, model: lacking });
  }
};

const removeAbsent = (world: World, engines: readonly RegistrationRow[]): void => {
  const present = new Set<string>(engines.map(({ id }) => id));
  [...world.placements.rows()]
    .filter(({ id }) => !present.has(id))
    .forEach(({ id }) => world.placements.remove(asBrand(id)));
};

/** Gives each engine the model whose new versions it loads. */
export const placeEngines = (world: World, engines: readonly RegistrationRow[]): void => {
  removeAbsent(world, engines);
  const models = modelsOf(engines);
  if (models.length === 0) return;
  const shares = sharesOf(models, demandOf(world), engines.length);
  engines
    .filter(({ id }) => !world.placements.has(id))
    .forEach((row) => placeNew(world, shares, row));
  moveOne(world, shares, engines, models);
};
