/**
 * Detects changes of a value that is derived from the rows of a table. Rows that change only in
 * columns that the value does not depend on are not reported, at the cost of one derived value per
 * changed row.
 */
import type { Entity, IdOf, Table } from './table.js';

/** Reports whether the derived value of any row has changed. */
export interface DerivedChanges {
  /** Whether a derived value has changed since the last call. */
  readonly take: () => boolean;
}

type ReadableTable<Row extends Entity> = Pick<Table<Row>, 'get' | 'rows' | 'createChangeReader'>;

/**
 * Creates a detector; rows that exist already count as changed. Rows for which `derive` returns
 * undefined are not part of the value.
 */
export const createDerivedChanges = <Row extends Entity>(
  table: ReadableTable<Row>,
  derive: (row: Row) => string | undefined,
): DerivedChanges => {
  const changes = table.createChangeReader();
  const values = new Map<IdOf<Row>, string>();
  let existingIds = Array.from(table.rows(), ({ id }) => id as IdOf<Row>);

  const update = (id: IdOf<Row>): boolean => {
    const row = table.get(id);
    const value = row === undefined ? undefined : derive(row);
    if (values.get(id) === value) return false;
    if (value === undefined) values.delete(id);
    else values.set(id, value);
    return true;
  };

  return {
    take: () => {
      const ids = [...existingIds, ...changes.take()];
      existingIds = [];
      return ids.filter(update).length > 0;
    },
  };
};
