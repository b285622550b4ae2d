/**
 * Runs a scenario step by step on virtual time, and checks every invariant at its end. A run is
 * deterministic: it depends only on the scenario and its seed.
 */
import type { Milliseconds } from '../../src/base/common/time.js';
import { checkInvariants } from '../invariants/invariants.js';
import { isBuilt, type Capability } from '../system/capabilities.js';
import { createProofSystem } from '../system/proofSystem.js';
import { executeAction } from './actions.js';
import { isConditionMet, type Condition } from './conditions.js';
import type { Scenario, Step } from './scenario.js';
import { createScenarioRun, type ScenarioRun } from './scenarioRun.js';

/** One failure of a scenario: a step or an invariant. */
export interface ScenarioFailure {
  /** The step that failed, or null for a violated invariant. */
  readonly step: Step | null;
  readonly message: string;
  /** Identifiers of the affected rows, by which the report selects rows and events. */
  readonly subjects: readonly string[];
}

/** The result of a scenario; `notBuilt` lists the capabilities that the product does not have yet. */
export type ScenarioVerdict =
  | { readonly kind: 'passed' }
  | { readonly kind: 'notBuilt'; readonly missing: readonly Capability[] }
  | {
      readonly kind: 'failed';
      readonly failures: readonly ScenarioFailure[];
      readonly run: ScenarioRun;
    };

/** Virtual time between two evaluations of a condition. */
const checkIntervalMilliseconds: Milliseconds = 20;

/** Runs a scenario to its end, or until its first step fails. */
export const runScenario = (scenario: Scenario): ScenarioVerdict => {
  const missing = scenario.needs.filter((capability) => !isBuilt[capability]);
  if (missing.length > 0) return { kind: 'notBuilt', missing };

  const run = createScenarioRun(createProofSystem(scenario.installation, scenario.seed));
  const { installation } = run.system;
  const startedAt = installation.now();
  const forbiddenSteps: Step[] = [];
  const failures: ScenarioFailure[] = [];

  const recordFailure = (step: Step, message: string, condition: Condition): void => {
    const name = 'name' in condition ? condition.name : '';
    const requests = run.callsOf(name).flatMap(({ request }) => request ?? []);
    const lot = run.trainerOf(name)?.lot ?? [];
    failures.push({ step, message, subjects: [...requests, lot].flat() });
  };

  const checkForbiddenConditions = (): void =>
    forbiddenSteps.forEach((step) => {
      if (step.step !== 'never' || failures.length > 0 || !isConditionMet(step.condition, run))
        return;
      recordFailure(step, 'a condition that must never hold holds', step.condition);
    });

  const runUntil = (end: number, isDone: () => boolean): boolean => {
    while (!isDone()) {
      if (failures.length > 0 || installation.now() >= end) return false;
      installation.runFor(Math.min(checkIntervalMilliseconds, end - installation.now()));
      checkForbiddenConditions();
    }
    return true;
  };

  const waitFor = (step: Step, condition: Condition, within: Milliseconds): boolean => {
    const isMet = runUntil(installation.now() + within, () => isConditionMet(condition, run));
    if (!isMet && failures.length === 0) {
      recordFailure(step, `the condition did not hold within ${within} ms`, condition);
    }
    return isMet;
  };

  const isNeverDone = (): boolean => false;

  /** The handler of each kind of step. */
  const stepHandlers: {
    readonly [Kind in Step['step']]: (step: Extract<Step, { step: Kind }>) => void;
  } = {
    at: ({ time, action }) => {
      runUntil(startedAt + time, isNeverDone);
      executeAction(action, run);
    },
    when: (step) => {
      if (waitFor(step, step.condition, step.within)) executeAction(step.action, run);
    },
    expect: (step) => {
      waitFor(step, step.condition, step.within);
    },
    never: (step) => {
      forbiddenSteps.push(step);
    },
  };

  scenario.steps.every((step) => {
    (stepHandlers[step.step] as (member: Step) => void)(step);
    return failures.length === 0;
  });
  runUntil(startedAt + scenario.lasts, isNeverDone);
  checkInvariants(run.system.recording()).forEach(({ invariant, message, subjects }) =>
    failures.push({ step: null, message: `${invariant}: ${message}`, subjects }),
  );
  return failures.length === 0 ? { kind: 'passed' } : { kind: 'failed', failures, run };
};
