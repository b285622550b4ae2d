/**
 * What became of the requests of a load, and the figures by which policies are compared.
 */
import { WorkClass } from '../../src/service/configuration/common/tree.js';
import type { Measurement } from '../measurement.js';
import type { LoadRequest } from './load.js';

/** What became of one request. */
export interface Outcome {
  readonly request: LoadRequest;
  /** Milliseconds from arrival to the first attempt; for a request that never ran, to its end. */
  readonly wait: number;
  readonly isAnswered: boolean;
  /** When it ended, counted from the begin of the load. */
  readonly endedAt: number;
}

const tail = 0.99;

const percentile = (values: readonly number[]): number => {
  const sorted = [...values].sort((first, second) => first - second);
  return sorted[Math.min(sorted.length - 1, Math.floor(tail * sorted.length))] ?? 0;
};

const groupByWorkspace = (outcomes: readonly Outcome[]): readonly (readonly Outcome[])[] => {
  const groups = new Map<string, Outcome[]>();
  outcomes.forEach((outcome) => {
    const { workspace } = outcome.request;
    groups.set(workspace, [...(groups.get(workspace) ?? []), outcome]);
  });
  return [...groups.values()];
};

/** The figures of one policy over one load, without the workspace that floods. */
export const measureOutcomes = (
  prefix: string,
  outcomes: readonly Outcome[],
  flooding: string,
): readonly Measurement[] => {
  const others = outcomes.filter(({ request }) => request.workspace !== flooding);
  const prompt = others.filter(({ request }) => request.workClass === WorkClass.Prompt);
  const waits = (chosen: readonly Outcome[]): number[] => chosen.map(({ wait }) => wait);
  const worst = Math.max(...groupByWorkspace(others).map((group) => percentile(waits(group))));
  const answeredOf = (group: readonly Outcome[]): number =>
    group.filter(({ isAnswered }) => isAnswered).length / group.length;
  const worstAnswered = Math.min(...groupByWorkspace(others).map(answeredOf));
  return [
    { name: `${prefix}_worst_workspace_p99_wait`, value: worst, unit: 'ms' },
    { name: `${prefix}_prompt_p99_wait`, value: percentile(waits(prompt)), unit: 'ms' },
    { name: `${prefix}_worst_workspace_answered`, value: worstAnswered, unit: 'ratio' },
    { name: `${prefix}_answered_of_others`, value: answeredOf(others), unit: 'ratio' },
  ];
};
