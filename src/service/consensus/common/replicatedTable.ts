/**
 * The description with which each component declares a replicated table beside its own tables: one
 * that only committed entries change, and that is therefore the same on all daemons that receive the
 * topic. Snapshots hold the rows of these tables.
 */
import * as z from 'zod';
import type { Brand } from '../../../base/common/brand.js';
import type { Instant } from '../../../base/common/time.js';
import type { Entity, Table } from '../../../infrastructure/tables/common/table.js';
import type { Tables, World } from '../../world/common/world.js';
import type { Topic } from './command.js';

/** The operations of a table that restoring uses. */
export type RestorableTable<Row extends Entity> = Pick<
  Table<Row>,
  'get' | 'rows' | 'put' | 'remove'
>;

/** Row type of a table of the world; `never` for queues. */
export type RowOf<Name extends keyof Tables> = Tables[Name] extends {
  readonly put: (row: infer Row extends Entity) => unknown;
}
  ? Row
  : never;

/** How the rows of one table are captured and restored. */
export interface ReplicatedTable<Row extends Entity = Entity> {
  /** Topic of the commands that change it. */
  readonly topic: Topic;
  readonly rowSchema: z.ZodType<Row>;
  /** Whether a row does not come from the log; it is neither captured nor removed. */
  readonly isLocalRow?: (row: Row) => boolean;
  /**
   * Recreates what apply handlers create besides replicated rows: rows that derive from them, and
   * local rows such as deadlines. Runs after all tables were restored.
   */
  readonly onDidRestore?: (world: World, now: Instant) => void;
}

/** Descriptions of tables, by the name of the table in the world. */
export type ReplicatedTables<Names extends keyof Tables> = {
  readonly [Name in Names]: ReplicatedTable<RowOf<Name>>;
};

/** Schema of an identifier, which is a string in messages. */
export const createIdentifierSchema = <Id extends Brand<string>>() =>
  z.custom<Id>((value) => typeof value === 'string');
