/**
 * The traffic bench: the queueing policy compared with a first-come, first-served baseline under the same
 * seeded loads, overload, and the cost of routing decisions.
 */
import { defaultPolicy } from '../../src/service/configuration/common/tree.js';
import type { Measurement } from '../measurement.js';
import { runFirstComeFirstServed } from './baseline.js';
import { loads, type LoadSettings } from './load.js';
import { measureOutcomes } from './outcome.js';
import { measureOverload } from './overload.js';
import { runProduct } from './product.js';
import { measureRouteDecisions } from './routeDecisions.js';

const measureQueueing = (load: LoadSettings): readonly Measurement[] => {
  const baseline = runFirstComeFirstServed(load, defaultPolicy.queueMilliseconds);
  const { outcomes } = runProduct(load, {});
  const { workspace } = load.flood;
  return [
    ...measureOutcomes(`queueing_${load.name}_fair`, outcomes, workspace),
    ...measureOutcomes(`queueing_${load.name}_first_come`, baseline, workspace),
  ];
};

/** Measures queueing, overload and routing decisions. */
export const runTrafficBench = (): Promise<readonly Measurement[]> =>
  Promise.resolve([
    ...loads.flatMap(measureQueueing),
    ...loads.flatMap(measureOverload),
    ...measureRouteDecisions(),
  ]);
