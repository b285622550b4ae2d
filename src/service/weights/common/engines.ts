/**
 * What engines hold, and by how much they lag behind the versions that trainers have named.
 */
import { asBrand } from '../../../base/common/brand.js';
import { RegistrationState, type RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import type { ModelVersionRow } from './versionTables.js';

const isReadyEngine = (row: RegistrationRow): boolean =>
  row.state === RegistrationState.Ready && row.models.length > 0;

/** The engines that take work. */
export const readyEnginesOf = (world: World): RegistrationRow[] =>
  [...world.registrations.rows()].filter(isReadyEngine);

/** The version of a model that an engine holds; 0 for one that it does not serve. */
export const heldVersion = (row: RegistrationRow, model: string): number =>
  row.models.find(({ name }) => name === model)?.version ?? 0;

/** The newest version that a trainer has named; 0 before the first. */
export const newestVersion = (world: World, model: string): number =>
  world.modelVersions.get(asBrand<ModelVersionRow['id']>(model))?.version ?? 0;

/** By how many versions an engine lags for a model. */
export const versionLagOf = (world: World, row: RegistrationRow, model: string): number =>
  newestVersion(world, model) - heldVersion(row, model);
