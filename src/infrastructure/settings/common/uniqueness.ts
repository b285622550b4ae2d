/**
 * Values that may stand in one place only. The places are rows of a table that is indexed by value.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import { createTable } from '../../tables/common/table.js';
import { SettingsFaultKind, type SettingsFault } from './settingsFault.js';

/** A value, and the path at which it stands. */
export interface Occurrence {
  readonly path: string;
  readonly value: string;
}

interface OccurrenceRow {
  readonly id: Brand<'occurrence'>;
  readonly value: string;
}

const createOccurrenceTable = (occurrences: readonly Occurrence[]) => {
  const table = createTable<OccurrenceRow, 'value'>({
    name: 'occurrences',
    indices: { value: (row) => row.value },
    deadlines: {},
  });
  occurrences.forEach(({ path, value }) => table.put({ id: asBrand(path), value }));
  return table;
};

/** One fault for each place that repeats the value of an earlier one. */
export const findDuplicates = (
  description: string,
  occurrences: readonly Occurrence[],
): readonly SettingsFault[] => {
  const table = createOccurrenceTable(occurrences);
  return [...table.values('value')].flatMap((value) => {
    const [first, ...others] = table.where('value', value);
    return others.map((row) => ({
      kind: SettingsFaultKind.Repeated,
      path: row.id,
      message: `This ${description} already stands at ${first?.id}; give each its own.`,
    }));
  });
};
