/**
 * What a daemon cannot serve without, and since when it lacks it. Only the absence system changes
 * the rows.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import type { ValueOf } from '../../../base/common/handlers.js';
import { never, type Instant, type Milliseconds } from '../../../base/common/time.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';

export const AbsenceKind = {
  /** A leader that a control daemon knows. */
  Leader: 'leader',
  /** A declaration that counts as up to date. */
  Configuration: 'configuration',
  /** The accepted entries that a daemon which can vote must hold before its vote counts. */
  Joining: 'joining',
} as const;
export type AbsenceKind = ValueOf<typeof AbsenceKind>;

/** Whether one thing is missing, and when that is reported. */
export interface AbsenceRow {
  readonly id: Brand<'absence'>;
  readonly kind: AbsenceKind;
  /** Time since which it is missing; `never` while it is there. */
  readonly missingSince: Instant;
  /** Time of the next report; `never` while it is there. */
  readonly reportDeadline: Instant;
  /** Time before which it is not reported again, also if it has been there in between. */
  readonly quietDeadline: Instant;
  /** Whether the present absence was reported, so that its end is reported too. */
  readonly isReported: boolean;
}

const absenceIdOf = (kind: AbsenceKind): AbsenceRow['id'] => asBrand(kind);

export const createAbsenceTables = () => ({
  absences: createTable<AbsenceRow, never, 'report'>({
    name: 'absences',
    indices: {},
    deadlines: { report: (row) => row.reportDeadline },
  }),
});
export type AbsenceTables = ReturnType<typeof createAbsenceTables>;

/** Columns of something that is there. */
export const presentColumns = {
  missingSince: never,
  reportDeadline: never,
  isReported: false,
} as const;

/** Returns the row of a kind; before the first tick, nothing counts as missing. */
export const absenceOf = ({ absences }: AbsenceTables, kind: AbsenceKind): AbsenceRow =>
  absences.get(absenceIdOf(kind)) ?? {
    ...presentColumns,
    id: absenceIdOf(kind),
    kind,
    quietDeadline: Number.NEGATIVE_INFINITY,
  };

/** Returns the milliseconds for which something has been missing; 0 if it is there. */
export const computeMissingMilliseconds = (
  tables: AbsenceTables,
  kind: AbsenceKind,
  now: Instant,
): Milliseconds => Math.round(Math.max(0, now - absenceOf(tables, kind).missingSince));
