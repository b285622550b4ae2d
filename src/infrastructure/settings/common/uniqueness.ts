/**
 * Detects duplicates of values that must be unique, with a table of occurrences indexed by value.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import { createTable } from '../../tables/common/table.js';
import { SettingsFaultKind, type SettingsFault } from './settingsFault.js';

/** A value and its path in the settings file. */
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

/** Returns a fault for each occurrence of a value after its first one. */
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
      message: `This ${description} is already used at ${first?.id}; use unique values.`,
    }));
  });
};
