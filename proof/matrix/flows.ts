/**
 * The main flows of the fault matrix and their steps, at which faults are injected. Starting a flow sends
 * its first request to a system and returns a condition for each step, in order.
 */
import type { ValueOf } from '../../src/base/common/handlers.js';
import { servedId } from '../../src/service/configuration/common/servedTables.js';
import { AttemptState } from '../../src/service/traffic/common/trafficTables.js';
import { withdrawKeyEdit, putEdit } from '../../standins/virtual/settingsEdits.js';
import { digestOf } from '../../standins/virtual/testDeployment.js';
import type { Call } from '../../standins/virtual/virtualCallers.js';
import type { Trainer } from '../../standins/virtual/virtualTrainers.js';
import { ExecutionState } from '../../standins/virtual/virtualUpstream.js';
import { Capability } from '../system/capabilities.js';
import { exampleKeyOf, type ProofSystem } from '../system/proofSystem.js';

export const FlowName = {
  Request: 'request',
  NonIdempotentCall: 'nonIdempotentCall',
  Sample: 'sample',
  Edit: 'edit',
  KeyWithdrawal: 'keyWithdrawal',
  Order: 'order',
  UsageWindow: 'usageWindow',
  WeightRelease: 'weightRelease',
  MembershipChange: 'membershipChange',
  Shutdown: 'shutdown',
} as const;
export type FlowName = ValueOf<typeof FlowName>;

/** A flow that runs in a system. */
export interface StartedFlow {
  /** For each step of the flow, in order, whether the flow has reached it. */
  readonly stepConditions: readonly (() => boolean)[];
  /** The daemon that receives the request of the flow, and the upstream that runs it, if any. */
  readonly daemon: string;
  readonly upstream: () => string | undefined;
  /** Whether the caller has received the outcome of the flow, or can receive none any more. */
  readonly isEnded: () => boolean;
}

/** A flow of the matrix: the names of its steps, and the function that starts it. */
export interface Flow {
  readonly steps: readonly string[];
  readonly needs: Capability;
  readonly start: (system: ProofSystem) => StartedFlow;
}

const attemptsOf = (system: ProofSystem, { daemon, request }: Call) =>
  request === null || !system.installation.runningNames().includes(daemon)
    ? []
    : system.installation.daemon(daemon).core.world.attempts.where('request', request);

const startCallFlow = (system: ProofSystem, workspace: string, service: string): StartedFlow => {
  const call = system.call({ workspace, service });
  const findExecution = () =>
    system.upstreams.executions().find(({ request }) => request === call.request);
  const hasAttempt = (states: readonly AttemptState[]) => () =>
    attemptsOf(system, call).some(({ state }) => states.includes(state));
  return {
    daemon: call.daemon,
    upstream: () => findExecution()?.upstream ?? attemptsOf(system, call)[0]?.upstream,
    stepConditions: [
      () => true,
      hasAttempt([AttemptState.Writing, AttemptState.Answering]),
      hasAttempt([AttemptState.Answering]),
      () => findExecution()?.state === ExecutionState.Ended,
    ],
    isEnded: () => call.outcome !== null,
  };
};

const callSteps = ['sent', 'written', 'answering', 'made'];

const startSampleFlow = (system: ProofSystem): StartedFlow => {
  const lotOptions = { groups: 4, groupSize: 2, trainerVersion: 1, stalenessBound: 1 };
  const trainer: Trainer = system.openLot(lotOptions);
  const findDeliveries = () =>
    system.trainers.deliveries().filter((delivery) => delivery.lot === trainer.lot);
  const listExecutions = () => system.upstreams.executions();
  return {
    daemon: trainer.daemon,
    upstream: () => listExecutions().at(-1)?.upstream,
    stepConditions: [
      () => trainer.lot !== null,
      () => listExecutions().length > 0,
      () => listExecutions().some(({ state }) => state === ExecutionState.Ended),
      () => findDeliveries().length > 0,
    ],
    isEnded: () =>
      trainer.finishedAt !== null ||
      !system.installation.runningNames().includes(trainer.daemon) ||
      system.installation.daemon(trainer.daemon).incarnation > 1,
  };
};

const startEditFlow = (system: ProofSystem, isWithdrawal: boolean): StartedFlow => {
  const { settings, installation } = system;
  const daemon = system.advisedDaemon();
  const workspace = settings.otherWorkspace;
  const edit = isWithdrawal
    ? system.operators.send(
        daemon,
        withdrawKeyEdit('matrix', workspace, 'main'),
        digestOf(exampleKeyOf(workspace)),
      )
    : system.operators.send(daemon, putEdit('matrix', 1, 'policy.stalenessBound', 2));
  const servesEdit = (name: string): boolean =>
    (installation.daemon(name).core.world.served.get(servedId)?.revision ?? 0) > 1;
  return {
    daemon,
    upstream: () => system.upstreams.names()[0],
    stepConditions: [
      () => true,
      () => installation.runningNames().some(servesEdit),
      () => edit.answer !== null,
      () => installation.runningNames().every(servesEdit),
    ],
    isEnded: () => edit.answer !== null || installation.daemon(daemon).incarnation > 1,
  };
};

const startShutdownFlow = (system: ProofSystem): StartedFlow => {
  const { settings, installation } = system;
  const daemon = system.advisedDaemon();
  const call = system.call({
    workspace: settings.engineWorkspace,
    service: settings.engineService,
    daemon,
  });
  system.shutDown(daemon);
  const startedAt = installation.now();
  const isGone = (): boolean => !installation.runningNames().includes(daemon);
  return {
    daemon,
    upstream: () => attemptsOf(system, call)[0]?.upstream,
    stepConditions: [
      () => true,
      () => attemptsOf(system, call).length > 0,
      () => call.outcome !== null,
      () =>
        installation.now() > startedAt + settings.deployment.timing.adviceMilliseconds || isGone(),
    ],
    isEnded: () => call.outcome !== null,
  };
};

const throwNotBuilt = (): never => {
  throw new Error(
    'The capability that this flow needs is not built; check isBuilt before starting the flow.',
  );
};

/** The flow of each name; a missing one is a compile error. */
export const flows: Readonly<Record<FlowName, Flow>> = {
  request: {
    steps: callSteps,
    needs: Capability.Traffic,
    start: (system) =>
      startCallFlow(system, system.settings.engineWorkspace, system.settings.engineService),
  },
  nonIdempotentCall: {
    steps: callSteps,
    needs: Capability.Traffic,
    start: (system) =>
      startCallFlow(system, system.settings.plainWorkspace, system.settings.plainService),
  },
  sample: {
    steps: ['opened', 'running', 'made', 'delivered'],
    needs: Capability.Rollout,
    start: startSampleFlow,
  },
  edit: {
    steps: ['sent', 'applied somewhere', 'answered', 'applied everywhere'],
    needs: Capability.Edits,
    start: (system) => startEditFlow(system, false),
  },
  keyWithdrawal: {
    steps: ['sent', 'applied somewhere', 'answered', 'applied everywhere'],
    needs: Capability.Edits,
    start: (system) => startEditFlow(system, true),
  },
  order: { steps: ['intended', 'sent', 'done'], needs: Capability.Orders, start: throwNotBuilt },
  usageWindow: {
    steps: ['open', 'frozen', 'reported', 'acknowledged'],
    needs: Capability.UsageReports,
    start: throwNotBuilt,
  },
  weightRelease: {
    steps: ['announced', 'first wave', 'last wave', 'done'],
    needs: Capability.WeightReleases,
    start: throwNotBuilt,
  },
  membershipChange: {
    steps: ['proposed', 'joint', 'done'],
    needs: Capability.MembershipChanges,
    start: throwNotBuilt,
  },
  shutdown: {
    steps: ['leaving', 'running', 'answered', 'advice ended'],
    needs: Capability.Shutdown,
    start: startShutdownFlow,
  },
};
