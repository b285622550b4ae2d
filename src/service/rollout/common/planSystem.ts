/**
 * The planner: makes a request for each planned sample. Requests of samples wait in the same queue as
 * those of callers, and go after them.
 */
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../platform/tables/common/tick.js';
import { createArrivedRow } from '../../traffic/common/arrivedRequest.js';
import type { RequestId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { LotState, SampleState, type LotRow, type SampleRow } from './rolloutTables.js';

const putRequest = (world: World, sample: SampleRow, lot: LotRow, now: Instant): RequestId => {
  const id = world.identifiers.next<RequestId>('request');
  const arrived = {
    id,
    keyDigest: null,
    service: lot.service,
    model: lot.model,
    estimatedTokens: lot.maximumTokens,
    sample: sample.id,
    madeFor: lot.workspace,
  };
  world.requests.put(createArrivedRow(arrived, now));
  return id;
};

const plan = (world: World, sample: SampleRow, now: Instant): void => {
  const lot = world.lots.get(sample.lot);
  if (lot?.state !== LotState.Open) return;
  const request = putRequest(world, sample, lot, now);
  world.samples.change(sample.id, { state: SampleState.Running, request });
};

/** Creates the planner. */
export const createPlanSystem = (world: World): System => ({
  name: 'plan',
  run: (now) => world.samples.takeDue('plan', now).forEach((sample) => plan(world, sample, now)),
});
