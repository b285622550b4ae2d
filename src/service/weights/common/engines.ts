/**
 * Reads which weight versions engines hold and how far they lag behind the versions that trainers
 * have named.
 */
import { asBrand } from '../../../base/common/brand.js';
import { isZoneEvacuated } from '../../places/common/eligibility.js';
import { RegistrationState, type RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import type { ModelVersionRow } from './versionTables.js';

const isReadyEngine = (row: RegistrationRow): boolean =>
  row.state === RegistrationState.Ready && row.models.length > 0;

/** Returns the upstreams that serve at least one model and are ready for work. */
export const readyEnginesOf = (world: World): RegistrationRow[] =>
  [...world.registrations.rows()].filter(isReadyEngine);

/** Returns the version of a model that an engine holds, or 0 if it does not serve the model. */
export const heldVersion = (row: RegistrationRow, model: string): number =>
  row.models.find(({ name }) => name === model)?.version ?? 0;

/** Whether a run on the engine was started in expectation of a version that it does not hold yet. */
const hasRunThatNeedsLoad = (world: World, row: RegistrationRow): boolean =>
  world.runs.where('upstream', row.id).some(({ expectedVersion, job }) => {
    const model = world.jobs.get(job)?.model;
    if (expectedVersion === null || model === undefined) return false;
    return heldVersion(row, model) < expectedVersion;
  });

/**
 * Returns the ready engines that may get weight orders. An engine in an evacuated zone gets one only
 * if a run on it needs the version.
 */
export const loadableEnginesOf = (world: World): RegistrationRow[] =>
  readyEnginesOf(world).filter(
    (row) => !isZoneEvacuated(world, row.zone) || hasRunThatNeedsLoad(world, row),
  );

/** Returns the newest version that a trainer has named, or 0 before the first. */
export const newestVersion = (world: World, model: string): number =>
  world.modelVersions.get(asBrand<ModelVersionRow['id']>(model))?.version ?? 0;

/** Returns the number of versions by which an engine lags behind the newest one of a model. */
export const versionLagOf = (world: World, row: RegistrationRow, model: string): number =>
  newestVersion(world, model) - heldVersion(row, model);
