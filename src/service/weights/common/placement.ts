/**
 * Distributes the engines among the models in proportion to the demand of their jobs. An engine is
 * moved only if a model is short of almost a whole engine. Models whose jobs have home regions are
 * given engines there first; see the module `homePlacement`.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { versionLagOf } from './engines.js';
import {
  canReleaseEngine,
  computeHomeNeeds,
  findEngineToMoveHome,
  findNeedOfEngine,
  type HomeNeed,
} from './homePlacement.js';
import { demandWindowMilliseconds, minimumDeficitToMove } from './placementLimits.js';

type AmountByModel = ReadonlyMap<string, number>;

const demandOf = (world: World): AmountByModel => {
  const since = world.wallNow() - demandWindowMilliseconds;
  const demand = new Map<string, number>();
  [...world.jobs.rows()]
    .filter(({ submittedAt }) => submittedAt >= since)
    .forEach(({ model, tokens }) => demand.set(model, (demand.get(model) ?? 0) + tokens));
  return demand;
};

/** Computes the unrounded number of engines of each model; shares are equal without any demand. */
const sharesOf = (
  models: readonly string[],
  demand: AmountByModel,
  engines: number,
): AmountByModel => {
  const sum = models.reduce((total, model) => total + (demand.get(model) ?? 0), 0);
  return new Map(
    models.map((model) => [
      model,
      sum === 0 ? engines / models.length : ((demand.get(model) ?? 0) / sum) * engines,
    ]),
  );
};

/** Returns the number of engines by which a model is below its share; negative above it. */
const deficitOf = (world: World, shares: AmountByModel, model: string): number =>
  (shares.get(model) ?? 0) - world.placements.count('model', model);

const modelWithLargestDeficit = (
  world: World,
  shares: AmountByModel,
  models: readonly string[],
): string =>
  models.reduce((most, model) =>
    deficitOf(world, shares, model) > deficitOf(world, shares, most) ? model : most,
  );

const modelsOf = (engines: readonly RegistrationRow[]): string[] => [
  ...new Set(engines.flatMap(({ models }) => models.map(({ name }) => name))),
];

const placeNewEngine = (
  world: World,
  shares: AmountByModel,
  needs: readonly HomeNeed[],
  row: RegistrationRow,
): void => {
  const need = findNeedOfEngine(world, needs, row);
  if (need !== undefined) {
    world.placements.put({ id: row.id, model: need.model });
    return;
  }
  const models = row.models.map(({ name }) => name);
  const modelsByLag = [...models].sort(
    (first, second) => versionLagOf(world, row, first) - versionLagOf(world, row, second),
  );
  world.placements.put({ id: row.id, model: modelWithLargestDeficit(world, shares, modelsByLag) });
};

/** Moves one engine from the model with the largest surplus to the one with the largest deficit. */
const rebalanceOneEngine = (
  world: World,
  shares: AmountByModel,
  needs: readonly HomeNeed[],
  engines: readonly RegistrationRow[],
  models: readonly string[],
): void => {
  const underservedModel = modelWithLargestDeficit(world, shares, models);
  const overservedModel = models.reduce((least, model) =>
    deficitOf(world, shares, model) < deficitOf(world, shares, least) ? model : least,
  );
  const shouldMove =
    deficitOf(world, shares, underservedModel) >= minimumDeficitToMove &&
    deficitOf(world, shares, overservedModel) <= -minimumDeficitToMove &&
    world.placements.count('model', overservedModel) > 1;
  const engineToMove = engines.find(
    (row) =>
      world.placements.get(row.id)?.model === overservedModel &&
      row.models.some(({ name }) => name === underservedModel) &&
      canReleaseEngine(world, needs, row),
  );
  if (shouldMove && engineToMove !== undefined) {
    world.placements.put({ id: engineToMove.id, model: underservedModel });
  }
};

const removeAbsentPlacements = (world: World, engines: readonly RegistrationRow[]): void => {
  const presentIds = new Set<string>(engines.map(({ id }) => id));
  [...world.placements.rows()]
    .filter(({ id }) => !presentIds.has(id))
    .forEach(({ id }) => world.placements.remove(asBrand(id)));
};

/** Assigns to each engine the model whose new versions it loads. */
export const placeEngines = (world: World, engines: readonly RegistrationRow[]): void => {
  removeAbsentPlacements(world, engines);
  const models = modelsOf(engines);
  if (models.length === 0) return;
  const shares = sharesOf(models, demandOf(world), engines.length);
  const needs = computeHomeNeeds(world, engines);
  engines
    .filter(({ id }) => !world.placements.has(id))
    .forEach((row) => placeNewEngine(world, shares, needs, row));
  const move = findEngineToMoveHome(world, needs, engines, (model) =>
    deficitOf(world, shares, model),
  );
  if (move === undefined) rebalanceOneEngine(world, shares, needs, engines, models);
  else world.placements.put({ id: move.engine.id, model: move.model });
};
