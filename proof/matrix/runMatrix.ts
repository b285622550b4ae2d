/**
 * Runs the fault matrix: every fault at every step of every flow, each cell in a system of its own, and
 * every invariant over what it leaves behind.
 */
import type { Milliseconds } from '../../src/base/common/time.js';
import { checkAll } from '../invariants/invariants.js';
import { isBuilt, type Capability } from '../system/capabilities.js';
import type { InstallationName } from '../system/installations.js';
import { createProofSystem, type ProofSystem } from '../system/proofSystem.js';
import { faults, FaultName, type InapplicableReason } from './faults.js';
import { FlowName, flows, type BegunFlow } from './flows.js';

/** The verdict on a cell. */
export type CellVerdict =
  | { readonly kind: 'passed' }
  | { readonly kind: 'red'; readonly messages: readonly string[] }
  | { readonly kind: 'notApplicable'; readonly reason: InapplicableReason }
  | { readonly kind: 'notBuilt'; readonly missing: Capability };

/** A fault at a step of a flow. */
export interface Cell {
  readonly installation: InstallationName;
  readonly fault: FaultName;
  readonly flow: FlowName;
  /** Position of the step in the flow, from 0. */
  readonly step: number;
}

export interface CellResult extends Cell {
  readonly verdict: CellVerdict;
}

const sliceMilliseconds: Milliseconds = 1;
const reachMilliseconds: Milliseconds = 10_000;
const faultMilliseconds: Milliseconds = 8_000;
const recoveryMilliseconds: Milliseconds = 25_000;
const recoveryGrace: Milliseconds = 1_000;

/** All cells of an installation. */
export const cellsOf = (installation: InstallationName): Cell[] =>
  Object.values(FaultName).flatMap((fault) =>
    Object.values(FlowName).flatMap((flow) =>
      flows[flow].steps.map((_, step) => ({ installation, fault, flow, step })),
    ),
  );

const reach = (system: ProofSystem, { reached }: BegunFlow, step: number): boolean => {
  const end = system.installation.now() + reachMilliseconds;
  while (!reached[step]!()) {
    if (system.installation.now() >= end) return false;
    system.installation.runFor(sliceMilliseconds);
  }
  return true;
};

const addCalls = (system: ProofSystem): void => {
  const { engineWorkspace, engineService, plainWorkspace, plainService } = system.site;
  system.call({ workspace: engineWorkspace, service: engineService });
  system.call({ workspace: plainWorkspace, service: plainService });
};

const runUntilEnded = (system: ProofSystem, flow: BegunFlow): void => {
  const end = system.installation.now() + recoveryMilliseconds;
  while (!flow.isEnded() && system.installation.now() < end) {
    system.installation.runFor(recoveryGrace);
  }
  system.installation.runFor(recoveryGrace);
};

const runApplicable = ({ installation, fault, flow, step }: Cell, seed: number): CellVerdict => {
  const system = createProofSystem(installation, seed);
  addCalls(system);
  const begun = flows[flow].begin(system);
  if (!reach(system, begun, step)) {
    return { kind: 'red', messages: ['the step was not reached within its time'] };
  }
  faults[fault].inject(system, begun);
  addCalls(system);
  system.installation.runFor(faultMilliseconds);
  faults[fault].recover(system, begun);
  addCalls(system);
  runUntilEnded(system, begun);
  const stuck = begun.isEnded() ? [] : ['the flow did not end after the recovery'];
  const violations = checkAll(system.recording()).map(
    ({ invariant, message }) => `${invariant}: ${message}`,
  );
  const messages = [...stuck, ...violations];
  return messages.length === 0 ? { kind: 'passed' } : { kind: 'red', messages };
};

const verdictOf = (cell: Cell, seed: number): CellVerdict => {
  const reason = faults[cell.fault].inapplicable[cell.flow];
  if (reason !== undefined) return { kind: 'notApplicable', reason };
  const missing = [flows[cell.flow].needs, faults[cell.fault].needs].find(
    (capability) => !isBuilt[capability],
  );
  if (missing !== undefined) return { kind: 'notBuilt', missing };
  return runApplicable(cell, seed);
};

/** Runs one cell. */
export const runCell = (cell: Cell, seed: number): CellResult => ({
  ...cell,
  verdict: verdictOf(cell, seed),
});
