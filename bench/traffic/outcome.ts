/**
 * The outcomes of the requests of a load, and the measurements by which policies are compared.
 */
import { WorkClass } from '../../src/service/configuration/common/tree.js';
import type { Measurement } from '../measurement.js';
import type { LoadRequest } from './load.js';

/** The outcome of one request. */
export interface Outcome {
  readonly request: LoadRequest;
  /** From arrival to the first attempt, or to the end of a request without an answer. */
  readonly waitMilliseconds: number;
  readonly isAnswered: boolean;
  /** End of the request, in milliseconds after the start of the load. */
  readonly endedAt: number;
}

const tailFraction = 0.99;

const computeP99 = (values: readonly number[]): number => {
  const sorted = [...values].sort((first, second) => first - second);
  return sorted[Math.min(sorted.length - 1, Math.floor(tailFraction * sorted.length))] ?? 0;
};

const groupByWorkspace = (outcomes: readonly Outcome[]): readonly (readonly Outcome[])[] => {
  const groups = new Map<string, Outcome[]>();
  outcomes.forEach((outcome) => {
    const { workspace } = outcome.request;
    groups.set(workspace, [...(groups.get(workspace) ?? []), outcome]);
  });
  return [...groups.values()];
};

/** Computes the measurements of one policy under one load, without the flooding workspace. */
export const measureOutcomes = (
  prefix: string,
  outcomes: readonly Outcome[],
  floodingWorkspace: string,
): readonly Measurement[] => {
  const otherOutcomes = outcomes.filter(({ request }) => request.workspace !== floodingWorkspace);
  const promptOutcomes = otherOutcomes.filter(
    ({ request }) => request.workClass === WorkClass.Prompt,
  );
  const listWaits = (selected: readonly Outcome[]): number[] =>
    selected.map(({ waitMilliseconds }) => waitMilliseconds);
  const worstWait = Math.max(
    ...groupByWorkspace(otherOutcomes).map((group) => computeP99(listWaits(group))),
  );
  const computeAnsweredRatio = (group: readonly Outcome[]): number =>
    group.filter(({ isAnswered }) => isAnswered).length / group.length;
  const worstAnsweredRatio = Math.min(...groupByWorkspace(otherOutcomes).map(computeAnsweredRatio));
  return [
    { name: `${prefix}_worst_workspace_p99_wait`, value: worstWait, unit: 'ms' },
    { name: `${prefix}_prompt_p99_wait`, value: computeP99(listWaits(promptOutcomes)), unit: 'ms' },
    { name: `${prefix}_worst_workspace_answered`, value: worstAnsweredRatio, unit: 'ratio' },
    {
      name: `${prefix}_answered_of_others`,
      value: computeAnsweredRatio(otherOutcomes),
      unit: 'ratio',
    },
  ];
};
