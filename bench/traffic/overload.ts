/**
 * Overload at three times the capacity: how much is still answered, whether refusals are true, and how
 * many rows an entry holds.
 */
import type { Measurement } from '../measurement.js';
import { computeRequestCapacity, loadDurationMilliseconds, type LoadSettings } from './load.js';
import { runProduct } from './product.js';

const overloadFactor = 3;

/** Measures one load with the shares of all workspaces raised to three times the capacity. */
export const measureOverload = (load: LoadSettings): readonly Measurement[] => {
  const totalShare = load.workspaces.reduce((sum, { share }) => sum + share, 0);
  const workspaces = load.workspaces.map((workspace) => ({
    ...workspace,
    share: (overloadFactor * workspace.share) / totalShare,
  }));
  const [first] = workspaces;
  const flood = { workspace: first!.name, share: first!.share };
  const run = runProduct({ ...load, workspaces, flood }, {});
  const answeredCount = run.outcomes.filter(
    ({ isAnswered, endedAt }) => isAnswered && endedAt <= loadDurationMilliseconds,
  ).length;
  const capacityRequests = (computeRequestCapacity(load) * loadDurationMilliseconds) / 1_000;
  const prefix = `overload_${load.name}`;
  return [
    {
      name: `${prefix}_offered_of_capacity`,
      value: run.outcomes.length / capacityRequests,
      unit: 'ratio',
    },
    {
      name: `${prefix}_goodput_of_capacity`,
      value: answeredCount / capacityRequests,
      unit: 'ratio',
    },
    { name: `${prefix}_refusals_that_ran`, value: run.refusalsThatRan, unit: 'requests' },
    { name: `${prefix}_most_rows_on_an_entry`, value: run.maximumRowsOnEntry, unit: 'rows' },
  ];
};
