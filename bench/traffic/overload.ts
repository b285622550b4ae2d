/**
 * Measures overload at three times the capacity: the share of answered requests, refused requests that ran
 * nevertheless, and the maximum number of request rows on one entry.
 */
import type { Measurement } from '../measurement.js';
import { computeRequestCapacity, loadDurationMilliseconds, type LoadSettings } from './load.js';
import { runProduct } from './product.js';

const overloadFactor = 3;

/** Measures one load whose workspace shares are scaled to three times the capacity in total. */
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
