/**
 * The tables of the declaration in force, and of its routes and caller keys as rows for lookup.
 * Only the handler of committed declarations may change them.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { Declaration, RouteDeclaration } from './declaration.js';

/** The declaration in force. */
export interface DeclarationRow {
  readonly id: Brand<'declaration'>;
  readonly version: number;
  readonly digest: string;
  readonly document: string;
  readonly declaration: Declaration;
}

/** Identifier of the only row of `declarations`. */
export const declarationId: Brand<'declaration'> = asBrand('declaration');

/** Identifier of a route: host and prefix, separated by a space. */
export type RouteId = Brand<'route'>;
/** A route of the declaration in force. */
export interface RouteRow extends RouteDeclaration {
  readonly id: RouteId;
}

/** A key that callers send with their requests. */
export type CallerKey = Brand<'callerKey'>;
/** A caller key and the workspace that it belongs to. */
export interface CallerKeyRow {
  readonly id: CallerKey;
  readonly workspace: string;
  readonly workspacePriority: number | null;
}

/** A workspace of the declaration in force; the identifier is its name. */
export interface WorkspaceRow {
  readonly id: Brand<'workspace'>;
  /** Empty if its requests may be served in any region. */
  readonly homeRegions: readonly string[];
}

/** Creates the tables of the declaration in force. */
export const createDeclarationTables = () => ({
  declarations: createTable<DeclarationRow>({ name: 'declarations', indices: {}, deadlines: {} }),
  routes: createTable<RouteRow, 'host'>({
    name: 'routes',
    indices: { host: (row) => row.host },
    deadlines: {},
  }),
  callerKeys: createTable<CallerKeyRow>({ name: 'callerKeys', indices: {}, deadlines: {} }),
  declaredWorkspaces: createTable<WorkspaceRow>({
    name: 'declaredWorkspaces',
    indices: {},
    deadlines: {},
  }),
});
