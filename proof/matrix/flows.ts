/**
 * The steps of the main flows at which faults are injected. A flow begins its work in a system and tells
 * when each of its steps is reached, in order.
 */
import type { ValueOf } from '../../src/base/common/handlers.js';
import { servedId } from '../../src/service/configuration/common/servedTables.js';
import { AttemptState } from '../../src/service/traffic/common/trafficTables.js';
import { withdrawEdit, putEdit } from '../../standins/virtual/settingsEdits.js';
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

/** A flow that was begun. */
export interface StartedFlow {
  /** Whether each step is reached, in the order of the steps of the flow. */
  readonly stepConditions: readonly (() => boolean)[];
  /** The daemon at which it runs, and the upstream where there is one. */
  readonly daemon: string;
  readonly upstream: () => string | undefined;
  /** Whether it has come to an end that its caller knows. */
  readonly isEnded: () => boolean;
}

/** A flow of the matrix. */
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
  const { site, installation } = system;
  const daemon = system.advisedDaemon();
  const workspace = site.otherWorkspace;
  const edit = isWithdrawal
    ? system.operators.send(
        daemon,
        withdrawEdit('matrix', workspace, 'main'),
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
  const { site, installation } = system;
  const daemon = system.advisedDaemon();
  const call = system.call({
    workspace: site.engineWorkspace,
    service: site.engineService,
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
      () => installation.now() > startedAt + site.deployment.timing.adviceMilliseconds || isGone(),
    ],
    isEnded: () => call.outcome !== null,
  };
};

const throwNotBuilt = (): never => {
  throw new Error('The part that this flow needs is not built; check isBuilt before it is begun.');
};

/** The flow of each name; the type checker proves that none is missing. */
export const flows: Readonly<Record<FlowName, Flow>> = {
  request: {
    steps: callSteps,
    needs: Capability.Traffic,
    start: (system) =>
      startCallFlow(system, system.site.engineWorkspace, system.site.engineService),
  },
  nonIdempotentCall: {
    steps: callSteps,
    needs: Capability.Traffic,
    start: (system) => startCallFlow(system, system.site.plainWorkspace, system.site.plainService),
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
