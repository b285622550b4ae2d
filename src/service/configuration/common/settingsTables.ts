/**
 * Tables of the agreed settings: the tree with its revision, the edit history, the answers to edits
 * and the key rotations. Only committed log entries change these tables, so that all daemons have
 * the same rows. The history and the answers are bounded in size. `rotationDeadlines` is local to
 * the leader.
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

/** Identifier of the single row of `settings`. */
export const settingsId: Brand<'settings'> = asBrand('settings');

/** A validated tree with its revision. */
export interface Settings {
  /** Starts at 1 and increases by one with each accepted edit; never decreases. */
  readonly revision: number;
  readonly tree: Tree;
}

export interface SettingsRow extends Settings {
  readonly id: Brand<'settings'>;
  /** False while the tree comes from the settings file, before a tree is committed to the log. */
  readonly isAgreed: boolean;
}

/** One accepted edit. */
export interface SettingsHistoryRow {
  /** The revision created by the edit, in decimal. */
  readonly id: Brand<'settingsHistory'>;
  readonly revision: number;
  readonly operator: string;
  readonly request: string;
  readonly path: string;
  readonly change: TreeChange;
}

/** The answer to an edit, returned again for each resend of the same request. */
export interface RememberedAnswerRow {
  /** The request identifier of the edit. */
  readonly id: Brand<'rememberedAnswer'>;
  readonly content: string;
  /** The revision created by the edit, or null if it was rejected. */
  readonly revision: number | null;
  readonly rejection: SettingsRejection | null;
}

/**
 * A key in rotation: its successor is already valid, and the key is withdrawn after the overlap.
 */
export interface KeyRotationRow {
  /** Workspace and name of the old key, separated by a dot. */
  readonly id: Brand<'keyRotation'>;
  readonly workspace: string;
  readonly name: string;
  readonly overlapMilliseconds: number;
  /** The revision in which the rotation started. */
  readonly revision: number;
}

/** The time at which the leader withdraws the old key of a rotation; local to the leader. */
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

/** Names of the tables whose rows are replicated and equal on all daemons. */
export const agreedSettingsTables = [
  'settings',
  'settingsHistory',
  'rememberedAnswers',
  'keyRotations',
] as const satisfies readonly (keyof SettingsTables)[];

/** Appends a row to a bounded table and removes the oldest rows beyond `maximumRows`. */
export const putBounded = <Row extends Entity>(
  table: Pick<Table<Row>, 'put' | 'rows' | 'size' | 'remove'>,
  row: Row,
  maximumRows: number,
): void => {
  table.put(row);
  const rows = table.rows();
  while (table.size() > maximumRows) table.remove(rows.next().value!.id);
};

/** Returns the settings row of this daemon. */
export const settingsOf = ({ settings }: SettingsTables): SettingsRow => settings.get(settingsId)!;
