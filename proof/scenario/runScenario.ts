/**
 * Runs a scenario step by step on virtual time, and checks every invariant at its end.
 */
import type { Milliseconds } from '../../src/base/common/time.js';
import { checkAll } from '../invariants/invariants.js';
import { isBuilt, type Capability } from '../system/capabilities.js';
import { createProofSystem } from '../system/proofSystem.js';
import { act } from './actions.js';
import { holds, type Condition } from './conditions.js';
import type { Scenario, Step } from './scenario.js';
import { createScenarioRun, type ScenarioRun } from './scenarioRun.js';

/** Why a scenario failed. */
export interface ScenarioFailure {
  /** The step that failed, or null where an invariant did. */
  readonly step: Step | null;
  readonly message: string;
  /** Identifiers and names of the rows concerned. */
  readonly subjects: readonly string[];
}

/** The verdict on a scenario. */
export type ScenarioVerdict =
  | { readonly kind: 'passed' }
  | { readonly kind: 'notBuilt'; readonly missing: readonly Capability[] }
  | {
      readonly kind: 'failed';
      readonly failures: readonly ScenarioFailure[];
      readonly run: ScenarioRun;
    };

const sliceMilliseconds: Milliseconds = 20;

/** Runs a scenario to its end or its first failed step. */
export const runScenario = (scenario: Scenario): ScenarioVerdict => {
  const missing = scenario.needs.filter((capability) => !isBuilt[capability]);
  if (missing.length > 0) return { kind: 'notBuilt', missing };

  const run = createScenarioRun(createProofSystem(scenario.installation, scenario.seed));
  const { installation } = run.system;
  const startedAt = installation.now();
  const forbidden: Step[] = [];
  const failures: ScenarioFailure[] = [];

  const fail = (step: Step, message: string, condition: Condition): void => {
    const name = 'name' in condition ? condition.name : '';
    const requests = run.callsOf(name).flatMap(({ request }) => request ?? []);
    const lot = run.trainerOf(name)?.lot ?? [];
    failures.push({ step, message, subjects: [...requests, lot].flat() });
  };

  const checkForbidden = (): void =>
    forbidden.forEach((step) => {
      if (step.step !== 'never' || failures.length > 0 || !holds(step.condition, run)) return;
      fail(step, 'the condition holds and may not', step.condition);
    });

  const runUntil = (end: number, isDone: () => boolean): boolean => {
    while (!isDone()) {
      if (failures.length > 0 || installation.now() >= end) return false;
      installation.runFor(Math.min(sliceMilliseconds, end - installation.now()));
      checkForbidden();
    }
    return true;
  };

  const waitFor = (step: Step, condition: Condition, within: Milliseconds): boolean => {
    const held = runUntil(installation.now() + within, () => holds(condition, run));
    if (!held && failures.length === 0) {
      fail(step, `the condition did not hold within ${within} ms`, condition);
    }
    return held;
  };

  const never = (): boolean => false;

  /** What each kind of step does. */
  const handlers: {
    readonly [Kind in Step['step']]: (step: Extract<Step, { step: Kind }>) => void;
  } = {
    at: ({ time, action }) => {
      runUntil(startedAt + time, never);
      act(action, run);
    },
    when: (step) => {
      if (waitFor(step, step.condition, step.within)) act(step.action, run);
    },
    expect: (step) => {
      waitFor(step, step.condition, step.within);
    },
    never: (step) => {
      forbidden.push(step);
    },
  };

  scenario.steps.every((step) => {
    (handlers[step.step] as (each: Step) => void)(step);
    return failures.length === 0;
  });
  runUntil(startedAt + scenario.lasts, never);
  checkAll(run.system.recording()).forEach(({ invariant, message, subjects }) =>
    failures.push({ step: null, message: `${invariant}: ${message}`, subjects }),
  );
  return failures.length === 0 ? { kind: 'passed' } : { kind: 'failed', failures, run };
};
