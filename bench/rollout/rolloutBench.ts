/**
 * Measures rollouts on virtual time: several trainers share the engines of one installation, whose answer
 * lengths follow a long-tailed distribution. Each trainer trains on one lot while the next is generated.
 */
import { asBrand } from '../../src/base/common/brand.js';
import { createRandom } from '../../src/base/common/random.js';
import { oldestVersion } from '../../src/service/dispatch/common/versionSpans.js';
import { UpstreamKind } from '../../src/service/protocol/common/upstreamProtocol.js';
import type { LotSpecification } from '../../src/service/rollout/common/openLot.js';
import { createLinks } from '../../standins/virtual/links.js';
import { createTestDeployment, createTestTree } from '../../standins/virtual/testDeployment.js';
import { createVirtualBodies } from '../../standins/virtual/virtualBodies.js';
import { createVirtualInstallation } from '../../standins/virtual/virtualInstallation.js';
import { createVirtualTrainers, type Trainer } from '../../standins/virtual/virtualTrainers.js';
import { createVirtualUpstreams } from '../../standins/virtual/virtualUpstreams.js';
import type { Measurement } from '../measurement.js';
import { measureLedgerCost } from './ledgerCost.js';

const daemonCount = 7;
const voterCount = 3;
const engineCount = 6;
const slots = 8;
const tokensPerSecond = 100;
const minimumAnswerTokens = 20;
const maximumAnswerTokens = 1_000;
/** Shape parameter of the Pareto distribution of answer lengths; a smaller one has a longer tail. */
const paretoShape = 1.3;
const trainerCount = 3;
const stepsPerTrainer = 4;
const groupCount = 12;
const groupSize = 8;
const trainingDurationMilliseconds = 8_000;
const simulationStepMilliseconds = 100;
const startupMilliseconds = 8_000;
const randomRange = 1_000_000;

interface TrainerState {
  readonly lot: Trainer;
  readonly next: Trainer | null;
  readonly step: number;
  readonly trainingDeadline: number;
}

const createLengthSampler = (seed: number) => {
  const random = createRandom(seed);
  return (): number => {
    const fraction = (random.nextInteger(randomRange) + 1) / randomRange;
    return Math.min(
      maximumAnswerTokens,
      Math.round(minimumAnswerTokens / fraction ** (1 / paretoShape)),
    );
  };
};

const createBenchInstallation = (seed: number) => {
  const deployment = createTestDeployment(daemonCount, voterCount);
  const latencies = { withinZone: 0.1, betweenZones: 0.5, betweenRegions: 12, toClients: 3 };
  const links = createLinks(deployment, latencies);
  const selectAnswerTokens = createLengthSampler(seed);
  const settings = Array.from({ length: engineCount }, (_, index) => ({
    name: `e${index + 1}`,
    kind: UpstreamKind.Engine,
    service: 'model',
    zone: `z${(index % 3) + 1}`,
    slots,
    tokensPerSecond,
    answerTokens: minimumAnswerTokens,
    selectAnswerTokens,
    weightVersion: 1,
    reclaimable: false,
  }));
  const upstreams = createVirtualUpstreams(settings, links);
  const bodies = createVirtualBodies();
  const trainers = createVirtualTrainers(links.toClients, bodies);
  const installation = createVirtualInstallation({
    deployment,
    tree: createTestTree(),
    seed,
    latency: links.betweenDaemons,
    ports: [upstreams.createPort, bodies.createPort, trainers.createPort],
  });
  upstreams.attach(installation);
  installation.runFor(startupMilliseconds);
  return { installation, upstreams, trainers };
};
type BenchInstallation = ReturnType<typeof createBenchInstallation>;

const createLotSpecification = (
  trainer: number,
  step: number,
  version: number,
): LotSpecification => ({
  workspace: asBrand('one'),
  service: asBrand('model'),
  model: 'model',
  step,
  trainerVersion: version,
  stalenessBound: 1,
  groupCount,
  groupSize,
  maximumTokens: maximumAnswerTokens,
  remaining: 600_000,
  request: `trainer-${trainer}-step-${step}`,
});

/** Returns the total milliseconds that all trainers waited for samples, and that they trained. */
const runTrainers = ({ installation, upstreams, trainers }: BenchInstallation) => {
  let version = 1;
  let waitedMilliseconds = 0;
  let trainedMilliseconds = 0;
  const openLot = (trainer: number, step: number): Trainer =>
    trainers.open(`d${(trainer % voterCount) + 1}`, createLotSpecification(trainer, step, version));

  const swapWeights = (): void => {
    version += 1;
    upstreams
      .names()
      .forEach((name) => upstreams.inject(name, { kind: 'swapWeights', weightVersion: version }));
  };

  const advance = (state: TrainerState, trainer: number): TrainerState => {
    const now = installation.now();
    if (state.next !== null) {
      trainedMilliseconds += simulationStepMilliseconds;
      if (now < state.trainingDeadline) return state;
      if (trainer === 0) swapWeights();
      Object.assign(state.next, { trainerVersion: version });
      return { lot: state.next, next: null, step: state.step + 1, trainingDeadline: 0 };
    }
    if (state.step >= stepsPerTrainer) return state;
    waitedMilliseconds += simulationStepMilliseconds;
    if (state.lot.finishedAt === null) return state;
    const next = openLot(trainer, state.step + 1);
    return { ...state, next, trainingDeadline: now + trainingDurationMilliseconds };
  };

  let states: TrainerState[] = Array.from({ length: trainerCount }, (_, trainer) => ({
    lot: openLot(trainer, 0),
    next: null,
    step: 0,
    trainingDeadline: 0,
  }));
  while (states.some((state) => state.step < stepsPerTrainer)) {
    installation.runFor(simulationStepMilliseconds);
    states = states.map(advance);
  }
  return { waitedMilliseconds, trainedMilliseconds };
};

const sumUsage = ({ installation }: BenchInstallation) =>
  installation
    .runningNames()
    .flatMap((name) => [...installation.daemon(name).core.world.usage.rows()])
    .reduce(
      (sum, row) => ({
        completionTokens: sum.completionTokens + row.completionTokens,
        wastedTokens: sum.wastedTokens + row.wastedTokens,
      }),
      { completionTokens: 0, wastedTokens: 0 },
    );

const computeVersionLags = ({ trainers }: BenchInstallation): number[] =>
  trainers
    .deliveries()
    .map(({ spans, trainerVersion }) => Math.max(0, trainerVersion - oldestVersion(spans)!));

const computeShare = (values: readonly number[], value: number): number =>
  values.filter((candidate) => candidate === value).length / values.length;

const measureTrainers = (): Measurement[] => {
  const bench = createBenchInstallation(1);
  const { waitedMilliseconds, trainedMilliseconds } = runTrainers(bench);
  const usage = sumUsage(bench);
  const versionLags = computeVersionLags(bench);
  const totalTokens = usage.completionTokens + usage.wastedTokens;
  return [
    {
      name: 'rollout_trainer_idle_share',
      value: waitedMilliseconds / (waitedMilliseconds + trainedMilliseconds),
      unit: 'ratio',
    },
    { name: 'rollout_samples_current', value: computeShare(versionLags, 0), unit: 'ratio' },
    { name: 'rollout_samples_one_version_old', value: computeShare(versionLags, 1), unit: 'ratio' },
    { name: 'rollout_oldest_sample', value: Math.max(...versionLags), unit: 'versions' },
    { name: 'rollout_wasted_tokens', value: usage.wastedTokens / totalTokens, unit: 'ratio' },
  ];
};

/** Measures rollouts at the size of the Kestrelkloof installation, and the ledger cost of a sample. */
export const runRolloutBench = (): Promise<readonly Measurement[]> =>
  Promise.resolve([...measureTrainers(), ...measureLedgerCost()]);
