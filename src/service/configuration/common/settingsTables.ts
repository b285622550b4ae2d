/**
 * The agreed settings as rows: the tree with its revision, who changed it, and the answers that edits
 * got. Only committed entries change them, so that every daemon comes to the same rows; all are bounded.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import type { Instant } from '../../../base/common/time.js';
import {
  createTable,
  type Entity,
  type Table,
} from '../../../infrastructure/tables/common/table.js';
import type { TreeChange } from './configurationCommands.js';
import type { SettingsRejection } from './settingsRejection.js';
import type { Tree } from './tree.js';

/** The only identifier in the table of settings. */
export const settingsId: Brand<'settings'> = asBrand('settings');

/** A checked tree with its revision. */
export interface Settings {
  /** Counts accepted edits from 1; never falls. */
  readonly revision: number;
  readonly tree: Tree;
}

export interface SettingsRow extends Settings {
  readonly id: Brand<'settings'>;
  /** False for the tree of the settings file, until the log has agreed on the first tree. */
  readonly isAgreed: boolean;
}

/** One accepted edit. */
export interface SettingsHistoryRow {
  /** The revision that the edit made, in decimal. */
  readonly id: Brand<'settingsHistory'>;
  readonly revision: number;
  readonly operator: string;
  readonly request: string;
  readonly path: string;
  readonly change: TreeChange;
}

/** The first answer to an edit, which each resend gets again. */
export interface RememberedAnswerRow {
  /** The request identifier of the edit. */
  readonly id: Brand<'rememberedAnswer'>;
  readonly content: string;
  /** The revision that the edit made, or null where it was rejected. */
  readonly revision: number | null;
  readonly rejection: SettingsRejection | null;
}

/** A key whose successor works already, and which is to be withdrawn after the overlap. */
export interface KeyRotationRow {
  /** Workspace and name of the old key, joined by a dot. */
  readonly id: Brand<'keyRotation'>;
  readonly workspace: string;
  readonly name: string;
  readonly overlapMilliseconds: number;
  /** The revision that began the rotation. */
  readonly revision: number;
}

/** When the leader withdraws the old key of a rotation; local to the leader. */
export interface RotationDeadlineRow {
  readonly id: Brand<'keyRotation'>;
  readonly withdrawalDeadline: Instant;
}

export const maximumHistoryRows = 512;
export const maximumRememberedAnswers = 4_096;

export const createSettingsTables = () => ({
  settings: createTable<SettingsRow>({ name: 'settings', indices: {}, deadlines: {} }),
  settingsHistory: createTable<SettingsHistoryRow>({
    name: 'settingsHistory',
    indices: {},
    deadlines: {},
  }),
  rememberedAnswers: createTable<RememberedAnswerRow>({
    name: 'rememberedAnswers',
    indices: {},
    deadlines: {},
  }),
  keyRotations: createTable<KeyRotationRow>({ name: 'keyRotations', indices: {}, deadlines: {} }),
  rotationDeadlines: createTable<RotationDeadlineRow, never, 'withdrawal'>({
    name: 'rotationDeadlines',
    indices: {},
    deadlines: { withdrawal: (row) => row.withdrawalDeadline },
  }),
});
export type SettingsTables = ReturnType<typeof createSettingsTables>;

/** The names of the tables that a snapshot of the log must hold. */
export const agreedSettingsTables = [
  'settings',
  'settingsHistory',
  'rememberedAnswers',
  'keyRotations',
] as const satisfies readonly (keyof SettingsTables)[];

/** Puts a row at the end of a bounded table and drops the oldest rows beyond the bound. */
export const putBounded = <Row extends Entity>(
  table: Pick<Table<Row>, 'put' | 'rows' | 'size' | 'remove'>,
  row: Row,
  maximumRows: number,
): void => {
  table.put(row);
  const rows = table.rows();
  while (table.size() > maximumRows) table.remove(rows.next().value!.id);
};

/** The agreed settings of this daemon. */
export const settingsOf = ({ settings }: SettingsTables): SettingsRow => settings.get(settingsId)!;
