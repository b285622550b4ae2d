/**
 * Applies the committed weight versions that trainers have named. A version that is not higher
 * than the current one has no effect.
 */
import { ok } from 'neverthrow';
import { asBrand } from '../../../base/common/brand.js';
import type { ApplyHandlers } from '../../consensus/common/applyHandlers.js';
import type { VersionNamed } from './versionCommands.js';
import type { ModelVersionRow } from './versionTables.js';

export const versionApplyHandlers: ApplyHandlers<VersionNamed> = {
  versionNamed: ({ model, version }, world) => {
    const id = asBrand<ModelVersionRow['id']>(model);
    const currentVersion = world.modelVersions.get(id)?.version ?? 0;
    if (version > currentVersion) world.modelVersions.put({ id, version });
    return ok(undefined);
  },
};
