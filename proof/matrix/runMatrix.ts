/**
 * Runs cells of the fault matrix: one fault at one step of one flow, in a separate system on virtual time.
 * A cell passes if the flow ends after the recovery and the recording violates no invariant.
 */
import type { Milliseconds } from '../../src/base/common/time.js';
import { checkInvariants } from '../invariants/invariants.js';
import { isBuilt, type Capability } from '../system/capabilities.js';
import type { InstallationName } from '../system/installations.js';
import { createProofSystem, type ProofSystem } from '../system/proofSystem.js';
import { faults, FaultName, type InapplicableReason } from './faults.js';
import { FlowName, flows, type StartedFlow } from './flows.js';

/** The result of a cell; `red` lists the failures, `notBuilt` the missing capability. */
export type CellVerdict =
  | { readonly kind: 'passed' }
  | { readonly kind: 'red'; readonly messages: readonly string[] }
  | { readonly kind: 'notApplicable'; readonly reason: InapplicableReason }
  | { readonly kind: 'notBuilt'; readonly missing: Capability };

/** A cell of the matrix: a fault at a step of a flow on an installation. */
export interface Cell {
  readonly installation: InstallationName;
  readonly fault: FaultName;
  readonly flow: FlowName;
  /** Index of the step in the flow, from 0. */
  readonly step: number;
}

/** A cell and its result. */
export interface CellResult extends Cell {
  readonly verdict: CellVerdict;
}

/** Virtual time between two checks of whether a step is reached. */
const checkIntervalMilliseconds: Milliseconds = 1;
const stepTimeoutMilliseconds: Milliseconds = 10_000;
const faultDurationMilliseconds: Milliseconds = 8_000;
const recoveryTimeoutMilliseconds: Milliseconds = 25_000;
const recoveryIntervalMilliseconds: Milliseconds = 1_000;

/** Creates the cells of an installation, for every fault at every step of every flow. */
export const createCells = (installation: InstallationName): Cell[] =>
  Object.values(FaultName).flatMap((fault) =>
    Object.values(FlowName).flatMap((flow) =>
      flows[flow].steps.map((_, step) => ({ installation, fault, flow, step })),
    ),
  );

const runUntilStep = (
  system: ProofSystem,
  { stepConditions }: StartedFlow,
  step: number,
): boolean => {
  const deadline = system.installation.now() + stepTimeoutMilliseconds;
  while (!stepConditions[step]!()) {
    if (system.installation.now() >= deadline) return false;
    system.installation.runFor(checkIntervalMilliseconds);
  }
  return true;
};

const sendCalls = (system: ProofSystem): void => {
  const { engineWorkspace, engineService, plainWorkspace, plainService } = system.settings;
  system.call({ workspace: engineWorkspace, service: engineService });
  system.call({ workspace: plainWorkspace, service: plainService });
};

const runUntilEnded = (system: ProofSystem, flow: StartedFlow): void => {
  const deadline = system.installation.now() + recoveryTimeoutMilliseconds;
  while (!flow.isEnded() && system.installation.now() < deadline) {
    system.installation.runFor(recoveryIntervalMilliseconds);
  }
  system.installation.runFor(recoveryIntervalMilliseconds);
};

const runApplicable = ({ installation, fault, flow, step }: Cell, seed: number): CellVerdict => {
  const system = createProofSystem(installation, seed);
  sendCalls(system);
  const startedFlow = flows[flow].start(system);
  if (!runUntilStep(system, startedFlow, step)) {
    return { kind: 'red', messages: ['the flow did not reach its step in time'] };
  }
  faults[fault].inject(system, startedFlow);
  sendCalls(system);
  system.installation.runFor(faultDurationMilliseconds);
  faults[fault].recover(system, startedFlow);
  sendCalls(system);
  runUntilEnded(system, startedFlow);
  const unfinishedMessages = startedFlow.isEnded()
    ? []
    : ['the flow did not end in time after the recovery'];
  const violationMessages = checkInvariants(system.recording()).map(
    ({ invariant, message }) => `${invariant}: ${message}`,
  );
  const messages = [...unfinishedMessages, ...violationMessages];
  return messages.length === 0 ? { kind: 'passed' } : { kind: 'red', messages };
};

const computeVerdict = (cell: Cell, seed: number): CellVerdict => {
  const reason = faults[cell.fault].inapplicable[cell.flow];
  if (reason !== undefined) return { kind: 'notApplicable', reason };
  const missing = [flows[cell.flow].needs, faults[cell.fault].needs].find(
    (capability) => !isBuilt[capability],
  );
  if (missing !== undefined) return { kind: 'notBuilt', missing };
  return runApplicable(cell, seed);
};

/** Runs one cell with a seed for the random numbers of its system. */
export const runCell = (cell: Cell, seed: number): CellResult => ({
  ...cell,
  verdict: computeVerdict(cell, seed),
});
