/**
 * Applies committed declarations and replaces the rows of routes, workspaces and keys. The highest version
 * wins; a declaration with a lower or equal version is accepted without effect, but different
 * content under the version in force is rejected.
 */
import { err, ok } from 'neverthrow';
import { asBrand } from '../../../base/common/brand.js';
import type { Entity, Table } from '../../../infrastructure/tables/common/table.js';
import type { ApplyHandlers } from '../../consensus/common/applyHandlers.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import type { Declaration } from './declaration.js';
import type { DeclarationSet } from './declarationCommands.js';
import {
  declarationId,
  type CallerKeyRow,
  type RouteRow,
  type WorkspaceRow,
} from './declarationTables.js';

const replaceRows = <Row extends Entity>(
  table: Pick<Table<Row>, 'rows' | 'remove' | 'put'>,
  rows: readonly Row[],
): void => {
  const remainingIds = new Set(rows.map(({ id }) => id));
  [...table.rows()].filter(({ id }) => !remainingIds.has(id)).forEach(({ id }) => table.remove(id));
  rows.forEach((row) => table.put(row));
};

const createKeyRows = ({ workspaces }: Declaration): CallerKeyRow[] =>
  (workspaces ?? []).flatMap(({ name, keys, priority }) =>
    keys.map((key) => ({ id: asBrand(key), workspace: name, workspacePriority: priority })),
  );

const createRouteRows = ({ routes }: Declaration): RouteRow[] =>
  routes.map((route) => ({ ...route, id: asBrand(`${route.host} ${route.prefix}`) }));

const createWorkspaceRows = ({ workspaces }: Declaration): WorkspaceRow[] =>
  (workspaces ?? []).map(({ name, homeRegions }) => ({
    id: asBrand(name),
    homeRegions: homeRegions ?? [],
  }));

/** Replaces the rows of routes, workspaces and keys by those of the declaration in force, if there is one. */
const replaceDerivedRows = (world: World): void => {
  const declaration = world.declarations.get(declarationId)?.declaration;
  replaceRows(world.routes, declaration === undefined ? [] : createRouteRows(declaration));
  replaceRows(world.callerKeys, declaration === undefined ? [] : createKeyRows(declaration));
  replaceRows(
    world.declaredWorkspaces,
    declaration === undefined ? [] : createWorkspaceRows(declaration),
  );
};

/** Puts the routes and keys of the declaration into force, if there is one. */
export const activateDeclaration = (world: World): void => {
  replaceDerivedRows(world);
  const row = world.declarations.get(declarationId);
  if (row === undefined) return;
  const { version, digest } = row;
  world.events.append({ kind: EventKind.DeclarationActivated, subject: { version, digest } });
};

const activate = (world: World, command: DeclarationSet): void => {
  const { version, digest, document, declaration } = command;
  world.declarations.put({ id: declarationId, version, digest, document, declaration });
  activateDeclaration(world);
};

/** Handlers of committed declaration commands, by `kind`. */
export const declarationApplyHandlers: ApplyHandlers<DeclarationSet> = {
  declarationSet: (command, world) => {
    const current = world.declarations.get(declarationId);
    if (current?.version === command.version && current.digest !== command.digest) {
      return err({
        kind: 'versionHeld',
        message: `Version ${command.version} is in force with other content; use a higher version.`,
      });
    }
    if (current === undefined || command.version > current.version) activate(world, command);
    return ok(undefined);
  },
};
