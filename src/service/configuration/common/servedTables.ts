/**
 * The settings that this daemon serves with: the newest revision that it has published. A port keeps the
 * row in the data folder, so that a restarted daemon never serves an older one.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { Settings } from './settingsTables.js';

/** The only identifier in the table of served settings. */
export const servedId: Brand<'served'> = asBrand('served');

export interface ServedRow extends Settings {
  readonly id: Brand<'served'>;
  /** Whether the settings came from the log and not from the settings file. */
  readonly isAgreed: boolean;
}

export const createServedTables = () => ({
  served: createTable<ServedRow>({ name: 'served', indices: {}, deadlines: {} }),
});
export type ServedTables = ReturnType<typeof createServedTables>;
