/**
 * Test scenario with three control daemons, three engines and one trainer on virtual time. Provides
 * the steps in the life of a sample, the faults to inject, and the assertions that must hold in the
 * end.
 */
import type { ExecutionContext } from 'ava';
import { createLinks } from '../../../../../standins/virtual/links.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import {
  createVirtualBodies,
  virtualTextOf,
} from '../../../../../standins/virtual/virtualBodies.js';
import {
  createVirtualInstallation,
  type VirtualContext,
  type VirtualPort,
} from '../../../../../standins/virtual/virtualInstallation.js';
import {
  createVirtualTrainers,
  type Trainer,
} from '../../../../../standins/virtual/virtualTrainers.js';
import { createVirtualUpstreams } from '../../../../../standins/virtual/virtualUpstreams.js';
import { asBrand } from '../../../../base/common/brand.js';
import { leadershipId } from '../../../consensus/common/consensusTables.js';
import { UpstreamKind } from '../../../protocol/common/upstreamProtocol.js';
import type { World } from '../../../world/common/world.js';
import { SampleState } from '../../common/ledgerRows.js';
import type { LotSpecification } from '../../common/openLot.js';
import { RunState } from '../../common/runRows.js';
import { textBodyIdOf } from '../../common/runs.js';

export const engineNames = ['e1', 'e2', 'e3'] as const;

const engine = (name: string) => ({
  name,
  kind: UpstreamKind.Engine,
  service: 'model',
  zone: 'z1',
  slots: 4,
  tokensPerSecond: 100,
  answerTokens: 50,
  weightVersion: 5,
  reclaimable: false,
});

export const lotSpecification: LotSpecification = {
  workspace: asBrand('one'),
  service: asBrand('model'),
  model: 'model',
  step: 1,
  trainerVersion: 5,
  stalenessBound: 1,
  groupCount: 6,
  groupSize: 4,
  maximumTokens: 50,
  remaining: 600_000,
  request: 'step-1',
};

/** Creates a port that sends every message of its daemon twice while it is enabled. */
const createMessageDuplicator = () => {
  let isEnabled = false;
  const port = ({ daemon }: VirtualContext): VirtualPort => ({
    drain: () => {
      if (!isEnabled) return;
      const { outgoingMessages } = daemon.core.world;
      outgoingMessages.takeAll().forEach((message) => {
        outgoingMessages.append(message);
        outgoingMessages.append(message);
      });
    },
  });
  return {
    port,
    setEnabled: (enabled: boolean) => {
      isEnabled = enabled;
    },
  };
};

/** Long enough for a leader to be elected and for engines to announce themselves. */
const startMilliseconds = 8_000;

/** Starts all daemons, engines and the trainer; the trainer first connects to the daemon `d2`. */
export const createScenario = (seed: number) => {
  const deployment = createTestDeployment(3, 3);
  const links = createLinks(deployment, {
    withinZone: 0.1,
    betweenZones: 1,
    betweenRegions: 12,
    toClients: 3,
  });
  const upstreams = createVirtualUpstreams(engineNames.map(engine), links);
  const bodies = createVirtualBodies();
  const trainers = createVirtualTrainers(links.toClients, bodies);
  const messageDuplicator = createMessageDuplicator();
  const installation = createVirtualInstallation({
    deployment,
    tree: createTestTree(),
    seed,
    latency: links.betweenDaemons,
    ports: [upstreams.createPort, bodies.createPort, trainers.createPort, messageDuplicator.port],
  });
  upstreams.attach(installation);
  installation.runFor(startMilliseconds);
  return { installation, upstreams, bodies, trainers, messageDuplicator };
};
export type Scenario = ReturnType<typeof createScenario>;

const isTrueInSomeWorld = (scenario: Scenario, condition: (world: World) => boolean): boolean =>
  scenario.installation
    .runningNames()
    .some((name) => condition(scenario.installation.daemon(name).core.world));

const hasSample = (scenario: Scenario, lot: string, state: SampleState): boolean =>
  isTrueInSomeWorld(scenario, (world) => world.samples.count('lotState', `${lot}/${state}`) > 0);

const hasRun = (scenario: Scenario, lot: string, state: RunState): boolean =>
  isTrueInSomeWorld(scenario, (world) => world.sampleRuns.count('lotState', `${lot}/${state}`) > 0);

const hasAttempt = (scenario: Scenario, hasTokens: boolean): boolean =>
  isTrueInSomeWorld(scenario, (world) =>
    [...world.attempts.rows()].some((row) => row.completionTokens > 0 === hasTokens),
  );

type IsStepReached = (scenario: Scenario, lot: string) => boolean;

/** The steps in the life of a sample, each with a check whether a first sample has reached it. */
export const steps: Readonly<Record<string, IsStepReached>> = {
  planned: (scenario, lot) => hasSample(scenario, lot, SampleState.Planned),
  dispatched: (scenario) => hasAttempt(scenario, false),
  streaming: (scenario) => hasAttempt(scenario, true),
  storing: (scenario, lot) => hasRun(scenario, lot, RunState.Storing),
  stored: (scenario, lot) => hasRun(scenario, lot, RunState.Stored),
  complete: (scenario, lot) => hasSample(scenario, lot, SampleState.Complete),
  assigned: (scenario, lot) => hasSample(scenario, lot, SampleState.Assigned),
  answered: (scenario) => scenario.trainers.deliveries().length > 0,
  acknowledged: (scenario, lot) => hasSample(scenario, lot, SampleState.Acknowledged),
};

const isolationMilliseconds = 6_000;
const restartMilliseconds = 1_000;
const downMilliseconds = 7_000;

const isolateDaemon = ({ installation }: Scenario, name: string): void => {
  const others = installation.runningNames().filter((other) => other !== name);
  others.forEach((other) => installation.cut(name, other));
  installation.schedule(isolationMilliseconds, () => {
    others.forEach((other) => installation.heal(name, other));
  });
};

const restartDaemon = ({ installation }: Scenario, name: string): void => {
  if (!installation.runningNames().includes(name)) return;
  installation.stop(name);
  installation.schedule(downMilliseconds, () => installation.start(name));
};

const swapAllWeights = ({ upstreams }: Scenario, trainer: Trainer): void => {
  Object.assign(trainer, { trainerVersion: trainer.trainerVersion + 1 });
  const weightVersion = trainer.trainerVersion;
  engineNames.forEach((name) => upstreams.inject(name, { kind: 'swapWeights', weightVersion }));
};

const findLeader = ({ installation }: Scenario): string | undefined =>
  installation
    .runningNames()
    .find(
      (name) => installation.daemon(name).core.world.leadership.get(leadershipId)?.isSelf === true,
    );

type InjectFault = (scenario: Scenario, trainer: Trainer) => void;

/** Transient faults: each ends without further intervention by the test. */
export const faults: Readonly<Record<string, InjectFault>> = {
  engineCrash: ({ upstreams, installation }) => {
    upstreams.inject('e1', { kind: 'crash' });
    installation.schedule(restartMilliseconds, () => upstreams.inject('e1', { kind: 'restart' }));
  },
  engineRestartsWithOlderWeights: ({ upstreams, installation }) => {
    upstreams.inject('e1', { kind: 'crash' });
    installation.schedule(restartMilliseconds, () => {
      upstreams.inject('e1', { kind: 'swapWeights', weightVersion: 1 });
      upstreams.inject('e1', { kind: 'restart' });
    });
  },
  ownerCrash: (scenario) => restartDaemon(scenario, 'd2'),
  otherCrash: (scenario) => restartDaemon(scenario, 'd3'),
  leaderLost: (scenario) => restartDaemon(scenario, findLeader(scenario) ?? 'd1'),
  ownerCutOff: (scenario) => isolateDaemon(scenario, 'd2'),
  duplicateMessages: ({ messageDuplicator, installation }) => {
    messageDuplicator.setEnabled(true);
    installation.schedule(isolationMilliseconds, () => messageDuplicator.setEnabled(false));
  },
  lateAnswer: ({ upstreams, installation }) => {
    upstreams.inject('e2', { kind: 'late', delay: 3_000 });
    installation.schedule(isolationMilliseconds, () => upstreams.inject('e2', { kind: 'recover' }));
  },
  swap: (scenario, trainer) => swapAllWeights(scenario, trainer),
  twoSwaps: (scenario, trainer) => {
    swapAllWeights(scenario, trainer);
    scenario.installation.schedule(restartMilliseconds, () => swapAllWeights(scenario, trainer));
  },
  answerLost: (_, trainer) => {
    Object.assign(trainer, { answersToDrop: trainer.answersToDrop + 1 });
  },
  answerLostAndSwaps: (scenario, trainer) => {
    Object.assign(trainer, { answersToDrop: trainer.answersToDrop + 1 });
    swapAllWeights(scenario, trainer);
    swapAllWeights(scenario, trainer);
  },
  requestResent: ({ trainers }, trainer) => trainers.resubmitLot(trainer, 'd3'),
};

const stepMilliseconds = 2;
const maximumStepMilliseconds = 60_000;

/**
 * Runs until the condition is met or the limit has passed; returns whether the condition is met.
 */
export const runUntil = (
  { installation }: Scenario,
  isConditionMet: () => boolean,
  limit = maximumStepMilliseconds,
  step = stepMilliseconds,
): boolean => {
  const end = installation.now() + limit;
  while (installation.now() < end && !isConditionMet()) installation.runFor(step);
  return isConditionMet();
};

/** Asserts what must hold once the trainer has been notified that its lot is acknowledged. */
export const assertDelivered = (
  t: ExecutionContext,
  scenario: Scenario,
  trainer: Trainer,
): void => {
  const { trainers, upstreams } = scenario;
  const deliveries = trainers.deliveries().filter(({ lot }) => lot === trainer.lot);
  const expected = trainer.specification.groupCount * trainer.specification.groupSize;
  t.is(deliveries.length, expected, 'every sample is delivered once');
  t.is(
    new Set(deliveries.map(({ sample }) => sample)).size,
    expected,
    'no sample is delivered twice',
  );
  const executions = new Map(upstreams.executions().map((each) => [each.attempt, each]));
  deliveries.forEach(({ sample, attempt, spans, text, trainerVersion }) => {
    const limit = trainerVersion - trainer.specification.stalenessBound;
    t.is(text, virtualTextOf(textBodyIdOf(sample, attempt!)), 'the text belongs to its attempt');
    t.deepEqual(spans, executions.get(attempt!)!.spans, 'the spans match those of the engine');
    t.true(
      spans.every(({ weightVersion }) => weightVersion >= limit),
      'no span is older than the staleness bound',
    );
  });
};
