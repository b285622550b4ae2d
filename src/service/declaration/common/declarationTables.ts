/**
 * The tables of the declaration in force, and of its routes and caller keys as rows for lookup. Only the
 * handler of committed declarations may change them.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { Declaration, RouteDeclaration } from './declaration.js';

export interface DeclarationRow {
  readonly id: Brand<'declaration'>;
  readonly version: number;
  readonly digest: string;
  readonly document: string;
  readonly declaration: Declaration;
}

export const declarationId: Brand<'declaration'> = asBrand('declaration');

export type RouteId = Brand<'route'>;
export interface RouteRow extends RouteDeclaration {
  readonly id: RouteId;
}

export type CallerKey = Brand<'callerKey'>;
export interface CallerKeyRow {
  readonly id: CallerKey;
  readonly workspace: string;
  readonly workspacePriority: number | null;
}

export const createDeclarationTables = () => ({
  declarations: createTable<DeclarationRow>({ name: 'declarations', indices: {}, deadlines: {} }),
  routes: createTable<RouteRow, 'host'>({
    name: 'routes',
    indices: { host: (row) => row.host },
    deadlines: {},
  }),
  callerKeys: createTable<CallerKeyRow>({ name: 'callerKeys', indices: {}, deadlines: {} }),
});
