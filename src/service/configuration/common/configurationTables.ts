/**
 * Tables of the published configuration, which admission and routing read for each request. Only
 * `applyTree` writes them.
 */
import { asBrand } from '../../../base/common/brand.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { KeyDigest, ServiceName, WorkspaceName } from '../../world/common/identifiers.js';
import type { ServiceSettings, Tree, WorkspaceSettings } from './tree.js';

export interface ServiceRow {
  readonly id: ServiceName;
  readonly settings: ServiceSettings;
}

export interface WorkspaceRow {
  readonly id: WorkspaceName;
  readonly settings: WorkspaceSettings;
}

/** A workspace key, identified by its SHA-256 digest; the key itself is never stored. */
export interface KeyRow {
  readonly id: KeyDigest;
  readonly name: string;
  readonly workspace: WorkspaceName;
  readonly withdrawn: boolean;
}

/** An operator, identified by the SHA-256 digest of the operator's key. */
export interface OperatorRow {
  readonly id: KeyDigest;
  readonly name: string;
  readonly withdrawn: boolean;
}

export const createConfigurationTables = () => ({
  services: createTable<ServiceRow, 'path', never, 'model'>({
    name: 'services',
    indices: { path: (row) => row.settings.path },
    deadlines: {},
    selections: { model: (row) => row.settings.models },
  }),
  workspaces: createTable<WorkspaceRow>({ name: 'workspaces', indices: {}, deadlines: {} }),
  keys: createTable<KeyRow, 'workspace'>({
    name: 'keys',
    indices: { workspace: (row) => row.workspace },
    deadlines: {},
  }),
  operators: createTable<OperatorRow>({ name: 'operators', indices: {}, deadlines: {} }),
});
export type ConfigurationTables = ReturnType<typeof createConfigurationTables>;

const createKeyRows = (tree: Tree): KeyRow[] =>
  Object.entries(tree.workspaces).flatMap(([workspace, settings]) =>
    Object.entries(settings.keys).map(([name, key]) => ({
      id: asBrand<KeyDigest>(key.digest),
      name,
      workspace: asBrand<WorkspaceName>(workspace),
      withdrawn: key.withdrawn,
    })),
  );

interface ReplaceableTable<Row extends { readonly id: string }> {
  readonly get: (id: Row['id']) => Row | undefined;
  readonly rows: () => IterableIterator<Row>;
  readonly remove: (id: Row['id']) => Row | undefined;
  readonly put: (row: Row) => Row;
}

/**
 * Compares rows as JSON. Equal rows have the same property order, as they come from parsed schemas.
 */
const isEqual = (first: unknown, second: unknown): boolean =>
  JSON.stringify(first) === JSON.stringify(second);

const replaceRows = <Row extends { readonly id: string }>(
  table: ReplaceableTable<Row>,
  rows: readonly Row[],
): void => {
  const currentIds = new Set<string>(rows.map((row) => row.id));
  const obsolete = [...table.rows()].filter((row) => !currentIds.has(row.id));
  obsolete.forEach((row) => table.remove(row.id));
  const changed = rows.filter((row) => !isEqual(table.get(row.id), row));
  changed.forEach((row) => table.put(row));
};

/** Updates the tables to match a validated tree; unchanged rows keep their identity. */
export const applyTree = (tables: ConfigurationTables, tree: Tree): void => {
  replaceRows(
    tables.services,
    Object.entries(tree.services).map(([name, settings]) => ({
      id: asBrand<ServiceName>(name),
      settings,
    })),
  );
  replaceRows(
    tables.workspaces,
    Object.entries(tree.workspaces).map(([name, settings]) => ({
      id: asBrand<WorkspaceName>(name),
      settings,
    })),
  );
  replaceRows(tables.keys, createKeyRows(tree));
  replaceRows(
    tables.operators,
    Object.entries(tree.operators).map(([name, { digest, withdrawn }]) => ({
      id: asBrand<KeyDigest>(digest),
      name,
      withdrawn,
    })),
  );
};
