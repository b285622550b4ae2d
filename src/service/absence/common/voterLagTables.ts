/**
 * Which voters a leader cannot count on, and since when. Only the voter lag system changes the rows;
 * there are none where this daemon does not lead.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import { never, type Instant } from '../../../base/common/time.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { DaemonId } from '../../world/common/identifiers.js';

/** Another voter, as the leader has surveyed it. */
export interface VoterLagRow {
  readonly id: DaemonId;
  /** Time since which it does not answer, has not joined or lacks entries; `never` if it is current. */
  readonly lagsSince: Instant;
  /** Index that was accepted when it started to lag; it is current once it holds that. */
  readonly targetIndex: number;
  /** Time before which it is not reported again, also if it was current in between. */
  readonly quietDeadline: Instant;
  readonly isReported: boolean;
  /** Index that it held at the last report. */
  readonly sampledIndex: number;
  readonly sampledAt: Instant;
}

/** Row of a voter that is current and was not reported yet. */
export const currentVoterRow = (id: DaemonId): VoterLagRow => ({
  id,
  lagsSince: never,
  targetIndex: 0,
  quietDeadline: Number.NEGATIVE_INFINITY,
  isReported: false,
  sampledIndex: 0,
  sampledAt: Number.NEGATIVE_INFINITY,
});

/** When the leader looks at its voters again. */
export interface VoterSurveyRow {
  readonly id: Brand<'voterSurvey'>;
  readonly surveyDeadline: Instant;
}

/** Identifier of the only row of `voterSurveys`. */
export const voterSurveyId: VoterSurveyRow['id'] = asBrand('voterSurvey');

export const createVoterLagTables = () => ({
  voterLags: createTable<VoterLagRow>({ name: 'voterLags', indices: {}, deadlines: {} }),
  voterSurveys: createTable<VoterSurveyRow, never, 'survey'>({
    name: 'voterSurveys',
    indices: {},
    deadlines: { survey: (row) => row.surveyDeadline },
  }),
});
export type VoterLagTables = ReturnType<typeof createVoterLagTables>;

/** Returns the number of other voters that are current. */
export const countCurrentVoters = ({ voterLags }: VoterLagTables): number =>
  [...voterLags.rows()].filter(({ lagsSince }) => lagsSince === never).length;
