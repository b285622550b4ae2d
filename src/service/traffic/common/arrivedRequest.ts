/**
 * The row of a request that has arrived: what a port or a planner says of it, and nothing decided yet.
 */
import { never, type Instant } from '../../../base/common/time.js';
import { WorkClass } from '../../configuration/common/tree.js';
import { RequestState, type ArrivedRequest, type RequestRow } from './trafficTables.js';

/** Creates the row of an arrived request; admission decides all that stands at its default here. */
export const createArrivedRow = (arrived: ArrivedRequest, now: Instant): RequestRow => ({
  ...arrived,
  state: RequestState.Arrived,
  workspace: null,
  policy: null,
  workClass: WorkClass.Bulk,
  flow: null,
  arrivedAt: now,
  queueDeadline: never,
  requestDeadline: never,
  retentionDeadline: never,
  attemptCount: 0,
  notRunCount: 0,
  isDelayed: false,
  backoffDeadline: never,
  mayHaveRun: false,
  answerStarted: false,
  refusal: null,
});
