/**
 * The faults of the fault matrix: how each is injected into a system that runs a flow, how the system
 * recovers from it, and to which flows it does not apply.
 */
import type { ValueOf } from '../../src/base/common/handlers.js';
import { putEdit, withdrawKeyEdit } from '../../standins/virtual/settingsEdits.js';
import { UpstreamFaultKind, type UpstreamFault } from '../../standins/virtual/virtualUpstream.js';
import { FailureName } from '../coverage/failures.js';
import { Capability } from '../system/capabilities.js';
import { exampleKeyOf, type ProofSystem } from '../system/proofSystem.js';
import { digestOf } from '../../standins/virtual/testDeployment.js';
import { FlowName, type StartedFlow } from './flows.js';

export const FaultName = {
  UpstreamCrash: 'upstreamCrash',
  UpstreamSilence: 'upstreamSilence',
  SilentConnections: 'silentConnections',
  LateAnswers: 'lateAnswers',
  UpstreamRefusal: 'upstreamRefusal',
  Reclaim: 'reclaim',
  WeightSwap: 'weightSwap',
  DaemonCrash: 'daemonCrash',
  DaemonRestart: 'daemonRestart',
  DaemonFreeze: 'daemonFreeze',
  Partition: 'partition',
  SecondLoss: 'secondLoss',
  PoisonousRequest: 'poisonousRequest',
  KeyWithdrawal: 'keyWithdrawal',
  RacingEdits: 'racingEdits',
  CrashAndPartition: 'crashAndPartition',
} as const;
export type FaultName = ValueOf<typeof FaultName>;

/** Reasons why a fault does not apply to a flow. */
export const InapplicableReason = {
  /** The flow does not depend on an upstream, so a fault of an upstream cannot affect it. */
  UsesNoUpstream: 'the flow uses no upstream',
  /** The flow sends no request of a caller that could crash an upstream. */
  SendsNoRequest: 'the flow sends no request of a caller',
  /** The upstream of the flow is a plain service, which has no weights. */
  HasNoWeights: 'the upstream of the flow has no weights',
  /** The fault and the flow are the same operation. */
  IsTheFlow: 'the fault is the flow itself',
} as const;
export type InapplicableReason = ValueOf<typeof InapplicableReason>;

/** A fault of the matrix. */
export interface Fault {
  /** The failures of the coverage check that the fault causes. */
  readonly failures: readonly FailureName[];
  readonly needs: Capability;
  readonly inapplicable: Readonly<Partial<Record<FlowName, InapplicableReason>>>;
  readonly inject: (system: ProofSystem, flow: StartedFlow) => void;
  /** Reverts the fault, so that the flow can complete and its recovery can be checked. */
  readonly recover: (system: ProofSystem, flow: StartedFlow) => void;
}

const flowsWithoutUpstream = {
  edit: InapplicableReason.UsesNoUpstream,
  keyWithdrawal: InapplicableReason.UsesNoUpstream,
} as const;

const selectTarget = (system: ProofSystem, flow: StartedFlow): string =>
  flow.upstream() ?? system.upstreams.names()[0]!;

const createUpstreamFault = (
  failures: readonly FailureName[],
  fault: UpstreamFault,
  recovery: UpstreamFault,
): Fault => ({
  failures,
  needs: Capability.Traffic,
  inapplicable: flowsWithoutUpstream,
  inject: (system, flow) => system.upstreams.inject(selectTarget(system, flow), fault),
  recover: (system) =>
    system.upstreams
      .names()
      .filter((name) => recovery.kind !== 'restart' || system.upstreams.get(name).isDown)
      .forEach((name) => system.upstreams.inject(name, recovery)),
});

/** For faults that need no recovery. */
const recoverNothing = (): void => {};
const restartFault: UpstreamFault = { kind: UpstreamFaultKind.Restart };
const recoverFault: UpstreamFault = { kind: UpstreamFaultKind.Recover };
const lateAnswerDelayMilliseconds = 12_000;
const reclaimNoticeMilliseconds = 3_000;
const newWeightVersion = 2;

const isRunning = (system: ProofSystem, daemon: string): boolean =>
  system.installation.runningNames().includes(daemon);

const stopDaemon = (system: ProofSystem, daemon: string): void => {
  if (isRunning(system, daemon)) system.stop(daemon);
};

const startDaemon = (system: ProofSystem, daemon: string): void => {
  if (!isRunning(system, daemon)) system.start(daemon);
};

const findOtherVoter = (system: ProofSystem, daemon: string): string =>
  system.settings.deployment.daemons.find(
    ({ name, roles }) => name !== daemon && roles.includes('control'),
  )!.name;

const createDaemonFault = (
  failures: readonly FailureName[],
  inject: Fault['inject'],
  recover: Fault['recover'],
): Fault => ({ failures, needs: Capability.Traffic, inapplicable: {}, inject, recover });

const daemonCrashFault = createDaemonFault(
  [FailureName.DaemonCrash],
  (system, { daemon }) => stopDaemon(system, daemon),
  (system, { daemon }) => startDaemon(system, daemon),
);

const partitionFault = createDaemonFault(
  [FailureName.ControlPartition],
  (system, { daemon }) => system.isolate([daemon]),
  (system, { daemon }) => system.rejoin([daemon]),
);

const upstreamCrashFault = createUpstreamFault(
  [FailureName.EngineCrash],
  { kind: UpstreamFaultKind.Crash },
  restartFault,
);

/** The fault of each name; a missing one is a compile error. */
export const faults: Readonly<Record<FaultName, Fault>> = {
  upstreamCrash: upstreamCrashFault,
  upstreamSilence: createUpstreamFault(
    [FailureName.SilentConnection],
    { kind: UpstreamFaultKind.Silence },
    recoverFault,
  ),
  silentConnections: createUpstreamFault(
    [FailureName.SilentConnection],
    { kind: UpstreamFaultKind.SilenceOpen },
    recoverFault,
  ),
  lateAnswers: createUpstreamFault(
    [FailureName.SilentConnection],
    { kind: UpstreamFaultKind.Late, delay: lateAnswerDelayMilliseconds },
    recoverFault,
  ),
  upstreamRefusal: createUpstreamFault(
    [FailureName.EngineCrash],
    { kind: UpstreamFaultKind.Refuse },
    recoverFault,
  ),
  reclaim: createUpstreamFault(
    [FailureName.Reclaim],
    { kind: UpstreamFaultKind.Reclaim, notice: reclaimNoticeMilliseconds },
    restartFault,
  ),
  weightSwap: {
    ...createUpstreamFault(
      [FailureName.WeightSwapFailure],
      { kind: UpstreamFaultKind.SwapWeights, weightVersion: newWeightVersion },
      recoverFault,
    ),
    inapplicable: {
      ...flowsWithoutUpstream,
      nonIdempotentCall: InapplicableReason.HasNoWeights,
    },
    recover: (system) => system.releaseWeights(newWeightVersion),
  },
  daemonCrash: daemonCrashFault,
  daemonRestart: createDaemonFault(
    [FailureName.DaemonCrash, FailureName.LateRestart],
    (system, { daemon }) => {
      stopDaemon(system, daemon);
      startDaemon(system, daemon);
    },
    recoverNothing,
  ),
  daemonFreeze: createDaemonFault(
    [FailureName.ControlPartition],
    (system, { daemon }) => system.freeze(daemon),
    (system, { daemon }) => system.thaw(daemon),
  ),
  partition: partitionFault,
  secondLoss: createDaemonFault(
    [FailureName.SecondLoss],
    (system, { daemon }) => {
      stopDaemon(system, daemon);
      startDaemon(system, daemon);
      stopDaemon(system, findOtherVoter(system, daemon));
    },
    (system, { daemon }) => startDaemon(system, findOtherVoter(system, daemon)),
  ),
  poisonousRequest: {
    ...upstreamCrashFault,
    failures: [FailureName.PoisonousRequest],
    needs: Capability.Quarantine,
    inapplicable: {
      ...flowsWithoutUpstream,
      sample: InapplicableReason.SendsNoRequest,
    },
    inject: (system) => system.upstreams.poison(() => true),
  },
  keyWithdrawal: {
    failures: [FailureName.KeyWithdrawal],
    needs: Capability.Edits,
    inapplicable: { keyWithdrawal: InapplicableReason.IsTheFlow },
    inject: (system) => {
      const workspace = system.settings.engineWorkspace;
      const command = withdrawKeyEdit('fault', workspace, 'main');
      system.operators.send(system.advisedDaemon(), command, digestOf(exampleKeyOf(workspace)));
    },
    recover: recoverNothing,
  },
  racingEdits: {
    failures: [FailureName.RacingEdits, FailureName.ResentEdit],
    needs: Capability.Edits,
    inapplicable: {},
    inject: (system) => {
      const daemons = system.installation.runningNames();
      const command = putEdit('race', 1, 'policy.stalenessBound', 0);
      [daemons.at(0), daemons.at(-1)].forEach((daemon) => system.operators.send(daemon!, command));
    },
    recover: recoverNothing,
  },
  crashAndPartition: {
    ...upstreamCrashFault,
    failures: [FailureName.EngineCrash, FailureName.ControlPartition, FailureName.Combination],
    inject: (system, flow) => {
      upstreamCrashFault.inject(system, flow);
      partitionFault.inject(system, flow);
    },
    recover: (system, flow) => {
      upstreamCrashFault.recover(system, flow);
      partitionFault.recover(system, flow);
    },
  },
};
