/**
 * The settings that this daemon currently serves: the newest revision that it has published. A port
 * persists the row in the data folder, so that a restarted daemon never serves an older revision.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { Settings } from './settingsTables.js';

/** Identifier of the single row of `served`. */
export const servedId: Brand<'served'> = asBrand('served');

export interface ServedRow extends Settings {
  readonly id: Brand<'served'>;
  /** Whether the settings come from the replicated log rather than from the settings file. */
  readonly isAgreed: boolean;
}

export const createServedTables = () => ({
  served: createTable<ServedRow>({ name: 'served', indices: {}, deadlines: {} }),
});
export type ServedTables = ReturnType<typeof createServedTables>;
