/**
 * Computes how many engines the models need in the home regions of their jobs, and which engines
 * move there. Each model has at least one engine in each set of home regions in which its jobs run,
 * if there are enough; beyond that it has its share of the demand. Without jobs that have home
 * regions there are no needs, and the shares of the models alone decide.
 */
import { homesOfJob } from '../../jobs/common/jobHomes.js';
import { JobState, type JobRow } from '../../jobs/common/jobTables.js';
import { isPlaceAllowed } from '../../places/common/eligibility.js';
import { hasHomeRegions } from '../../places/common/homes.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import { demandWindowMilliseconds, minimumDeficitToMove } from './placementLimits.js';

/** The engines that a model needs in the home regions of some of its jobs. */
export interface HomeNeed {
  readonly model: string;
  readonly homes: readonly string[];
  /** Expected tokens of the jobs. */
  readonly tokens: number;
  /** Number of engines, not rounded. */
  readonly target: number;
}

/** An engine that loads the versions of another model from now on. */
export interface EngineMove {
  readonly engine: RegistrationRow;
  readonly model: string;
}

const isInWindow = (world: World, { submittedAt }: JobRow): boolean =>
  submittedAt >= world.wallNow() - demandWindowMilliseconds;

/** Sums the demand by model and home regions; open jobs count however old they are. */
const sumDemand = (world: World): HomeNeed[] => {
  const needs = new Map<string, HomeNeed>();
  [...world.jobs.rows()]
    .filter((job) => job.state === JobState.Open || isInWindow(world, job))
    .forEach((job) => {
      const homes = homesOfJob(world, job);
      if (homes === null) return;
      const { model } = job;
      const key = JSON.stringify([model, [...homes].sort()]);
      const tokens = (needs.get(key)?.tokens ?? 0) + job.tokens;
      needs.set(key, { model, homes, tokens, target: 0 });
    });
  return [...needs.values()];
};

const sumTokens = (rows: readonly { readonly tokens: number }[]): number =>
  rows.reduce((total, { tokens }) => total + tokens, 0);

const isEngineOf = (
  world: World,
  { model, homes }: Pick<HomeNeed, 'model' | 'homes'>,
  row: RegistrationRow,
): boolean => row.models.some(({ name }) => name === model) && isPlaceAllowed(world, row, homes);

/** A need gets its share of all engines, but of those in its home regions not more than its share there. */
const computeTarget = (
  world: World,
  need: HomeNeed,
  needs: readonly HomeNeed[],
  engines: readonly RegistrationRow[],
): number => {
  const demand = sumTokens([...world.jobs.rows()].filter((job) => isInWindow(world, job)));
  const share = (need.tokens / Math.max(1, demand, need.tokens)) * engines.length;
  const homeEngines = engines.filter((row) => isEngineOf(world, need, row)).length;
  const competing = needs.filter(({ homes }) =>
    homes.some((region) => need.homes.includes(region)),
  );
  const homeShare = homeEngines * (need.tokens / Math.max(1, sumTokens(competing)));
  return Math.max(Math.min(1, homeEngines), Math.min(share, homeShare));
};

/** Computes the needs of all models; empty if no job has home regions. */
export const computeHomeNeeds = (
  world: World,
  engines: readonly RegistrationRow[],
): readonly HomeNeed[] => {
  if (!hasHomeRegions(world)) return [];
  const needs = sumDemand(world);
  return needs.map((need) => ({ ...need, target: computeTarget(world, need, needs, engines) }));
};

/** Counts the engines that are placed on the model of a need, in its home regions. */
const countPlaced = (world: World, { model, homes }: HomeNeed): number =>
  world.placements.where('model', model).filter(({ id }) => {
    const row = world.registrations.get(id);
    return row !== undefined && isPlaceAllowed(world, row, homes);
  }).length;

const deficitOf = (world: World, need: HomeNeed): number => need.target - countPlaced(world, need);

const isUnserved = (world: World, need: HomeNeed): boolean =>
  need.target > 0 && countPlaced(world, need) === 0;

/** Orders the needs: those without any engine first, then those that lack most. */
const sortByUrgency = (world: World, needs: readonly HomeNeed[]): HomeNeed[] =>
  [...needs].sort(
    (first, second) =>
      Number(isUnserved(world, second)) - Number(isUnserved(world, first)) ||
      deficitOf(world, second) - deficitOf(world, first),
  );

/** Returns the most urgent need that a new engine can serve; undefined if none lacks engines. */
export const findNeedOfEngine = (
  world: World,
  needs: readonly HomeNeed[],
  row: RegistrationRow,
): HomeNeed | undefined =>
  sortByUrgency(world, needs).find(
    (need) => deficitOf(world, need) > 0 && isEngineOf(world, need, row),
  );

const needsServedBy = (
  world: World,
  needs: readonly HomeNeed[],
  row: RegistrationRow,
): HomeNeed[] => {
  const placement = world.placements.get(row.id);
  return needs.filter(
    ({ model, homes }) => model === placement?.model && isPlaceAllowed(world, row, homes),
  );
};

/** Whether an engine can leave its model without a need that would then take one back. */
export const canReleaseEngine = (
  world: World,
  needs: readonly HomeNeed[],
  row: RegistrationRow,
): boolean =>
  needsServedBy(world, needs, row).every(
    (need) => countPlaced(world, need) > 1 && deficitOf(world, need) + 1 < minimumDeficitToMove,
  );

/** Whether an engine can leave its model for a need that has none: no need is left without engines. */
const canSpareEngine = (world: World, needs: readonly HomeNeed[], row: RegistrationRow): boolean =>
  needsServedBy(world, needs, row).every((need) => countPlaced(world, need) > 1);

const findEngineFor = (
  world: World,
  need: HomeNeed,
  needs: readonly HomeNeed[],
  engines: readonly RegistrationRow[],
  modelDeficitOf: (model: string) => number,
): RegistrationRow | undefined => {
  const placedModelOf = ({ id }: RegistrationRow): string => world.placements.get(id)!.model;
  const candidates = engines.filter(
    (row) => placedModelOf(row) !== need.model && isEngineOf(world, need, row),
  );
  const released = candidates.filter((row) => canReleaseEngine(world, needs, row));
  const spared = isUnserved(world, need)
    ? candidates.filter((row) => canSpareEngine(world, needs, row))
    : [];
  return (released.length > 0 ? released : spared).sort(
    (first, second) => modelDeficitOf(placedModelOf(first)) - modelDeficitOf(placedModelOf(second)),
  )[0];
};

/**
 * Finds an engine that moves to the model of the most urgent need; undefined if no need lacks almost
 * a whole engine, or none can be released. `modelDeficitOf` returns by how many engines a model is
 * below its share; the engine is taken from the model that is furthest above it.
 */
export const findEngineToMoveHome = (
  world: World,
  needs: readonly HomeNeed[],
  engines: readonly RegistrationRow[],
  modelDeficitOf: (model: string) => number,
): EngineMove | undefined =>
  sortByUrgency(world, needs)
    .filter((need) => deficitOf(world, need) >= minimumDeficitToMove)
    .map((need) => ({
      engine: findEngineFor(world, need, needs, engines, modelDeficitOf),
      model: need.model,
    }))
    .find((move): move is EngineMove => move.engine !== undefined);
