/**
 * The steps of the main flows at which faults are injected. A flow begins its work in a system and tells
 * when each of its steps is reached, in order.
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
import { keyOf, type ProofSystem } from '../system/proofSystem.js';

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
export interface BegunFlow {
  /** Whether each step is reached, in the order of the steps of the flow. */
  readonly reached: readonly (() => boolean)[];
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
  readonly begin: (system: ProofSystem) => BegunFlow;
}

const attemptsOf = (system: ProofSystem, { daemon, request }: Call) =>
  request === null || !system.installation.runningNames().includes(daemon)
    ? []
    : system.installation.daemon(daemon).core.world.attempts.where('request', request);

const beginCall = (system: ProofSystem, workspace: string, service: string): BegunFlow => {
  const call = system.call({ workspace, service });
  const execution = () =>
    system.upstreams.executions().find(({ request }) => request === call.request);
  const hasAttempt = (states: readonly AttemptState[]) => () =>
    attemptsOf(system, call).some(({ state }) => states.includes(state));
  return {
    daemon: call.daemon,
    upstream: () => execution()?.upstream ?? attemptsOf(system, call)[0]?.upstream,
    reached: [
      () => true,
      hasAttempt([AttemptState.Writing, AttemptState.Answering]),
      hasAttempt([AttemptState.Answering]),
      () => execution()?.state === ExecutionState.Ended,
    ],
    isEnded: () => call.outcome !== null,
  };
};

const callSteps = ['sent', 'written', 'answering', 'made'];

const beginSample = (system: ProofSystem): BegunFlow => {
  const lot = { groups: 4, groupSize: 2, trainerVersion: 1, stalenessBound: 1 };
  const trainer: Trainer = system.openLot(lot);
  const samples = () => system.trainers.deliveries().filter((each) => each.lot === trainer.lot);
  const executions = () => system.upstreams.executions();
  return {
    daemon: trainer.daemon,
    upstream: () => executions().at(-1)?.upstream,
    reached: [
      () => trainer.lot !== null,
      () => executions().length > 0,
      () => executions().some(({ state }) => state === ExecutionState.Ended),
      () => samples().length > 0,
    ],
    isEnded: () =>
      trainer.finishedAt !== null ||
      !system.installation.runningNames().includes(trainer.daemon) ||
      system.installation.daemon(trainer.daemon).incarnation > 1,
  };
};

const beginEdit = (system: ProofSystem, isWithdrawal: boolean): BegunFlow => {
  const { site, installation } = system;
  const daemon = system.advisedDaemon();
  const workspace = site.otherWorkspace;
  const edit = isWithdrawal
    ? system.operators.send(
        daemon,
        withdrawKeyEdit('matrix', workspace, 'main'),
        digestOf(keyOf(workspace)),
      )
    : system.operators.send(daemon, putEdit('matrix', 1, 'policy.stalenessBound', 2));
  const serves = (name: string): boolean =>
    (installation.daemon(name).core.world.served.get(servedId)?.revision ?? 0) > 1;
  return {
    daemon,
    upstream: () => system.upstreams.names()[0],
    reached: [
      () => true,
      () => installation.runningNames().some(serves),
      () => edit.answer !== null,
      () => installation.runningNames().every(serves),
    ],
    isEnded: () => edit.answer !== null || installation.daemon(daemon).incarnation > 1,
  };
};

const beginShutdown = (system: ProofSystem): BegunFlow => {
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
    reached: [
      () => true,
      () => attemptsOf(system, call).length > 0,
      () => call.outcome !== null,
      () => installation.now() > startedAt + site.deployment.timing.adviceMilliseconds || isGone(),
    ],
    isEnded: () => call.outcome !== null,
  };
};

const notBuilt = (): never => {
  throw new Error('The part that this flow needs is not built; check isBuilt before it is begun.');
};

/** The flow of each name; the type checker proves that none is missing. */
export const flows: Readonly<Record<FlowName, Flow>> = {
  request: {
    steps: callSteps,
    needs: Capability.Traffic,
    begin: (system) => beginCall(system, system.site.engineWorkspace, system.site.engineService),
  },
  nonIdempotentCall: {
    steps: callSteps,
    needs: Capability.Traffic,
    begin: (system) => beginCall(system, system.site.plainWorkspace, system.site.plainService),
  },
  sample: {
    steps: ['opened', 'running', 'made', 'delivered'],
    needs: Capability.Rollout,
    begin: beginSample,
  },
  edit: {
    steps: ['sent', 'applied somewhere', 'answered', 'applied everywhere'],
    needs: Capability.Edits,
    begin: (system) => beginEdit(system, false),
  },
  keyWithdrawal: {
    steps: ['sent', 'applied somewhere', 'answered', 'applied everywhere'],
    needs: Capability.Edits,
    begin: (system) => beginEdit(system, true),
  },
  order: { steps: ['intended', 'sent', 'done'], needs: Capability.Orders, begin: notBuilt },
  usageWindow: {
    steps: ['open', 'frozen', 'reported', 'acknowledged'],
    needs: Capability.UsageReports,
    begin: notBuilt,
  },
  weightRelease: {
    steps: ['announced', 'first wave', 'last wave', 'done'],
    needs: Capability.WeightReleases,
    begin: notBuilt,
  },
  membershipChange: {
    steps: ['proposed', 'joint', 'done'],
    needs: Capability.MembershipChanges,
    begin: notBuilt,
  },
  shutdown: {
    steps: ['leaving', 'running', 'answered', 'advice ended'],
    needs: Capability.Shutdown,
    begin: beginShutdown,
  },
};
