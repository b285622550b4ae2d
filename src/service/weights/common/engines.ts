/**
 * Reads which weight versions engines hold and how far they lag behind the versions that trainers
 * have named.
 */
import { asBrand } from '../../../base/common/brand.js';
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

/** Returns the newest version that a trainer has named, or 0 before the first. */
export const newestVersion = (world: World, model: string): number =>
  world.modelVersions.get(asBrand<ModelVersionRow['id']>(model))?.version ?? 0;

/** Returns the number of versions by which an engine lags behind the newest one of a model. */
export const versionLagOf = (world: World, row: RegistrationRow, model: string): number =>
  newestVersion(world, model) - heldVersion(row, model);
