/**
 * Creates rows of arrived requests from a port or from the sample planner. All decisions are left
 * to admission and routing.
 */
import { never, type Instant } from '../../../base/common/time.js';
import { WorkClass } from '../../configuration/common/tree.js';
import { RequestState, type ArrivedRequest, type RequestRow } from './trafficTables.js';

/** Creates the row of an arrived request; admission replaces the default values. */
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
  brokenUpstreams: [],
  notRunCount: 0,
  isDelayed: false,
  backoffDeadline: never,
  mayHaveRun: false,
  answerStarted: false,
  refusal: null,
});
