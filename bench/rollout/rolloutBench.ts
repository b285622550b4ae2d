/**
 * Rollouts on virtual time: trainers of one installation share its engines, whose answers have a long
 * tail of lengths. Each trainer trains on one lot while the next one is made.
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

const daemons = 7;
const voters = 3;
const engines = 6;
const slots = 8;
const tokensPerSecond = 100;
const shortestAnswer = 20;
const longestAnswer = 1_000;
/** Shape of the Pareto distribution of lengths; the smaller, the longer the tail. */
const tailShape = 1.3;
const trainerCount = 3;
const stepsOfATrainer = 4;
const groupCount = 12;
const groupSize = 8;
const trainingMilliseconds = 8_000;
const stepMilliseconds = 100;
const startMilliseconds = 8_000;
const randomBound = 1_000_000;

interface TrainingRow {
  readonly lot: Trainer;
  readonly next: Trainer | null;
  readonly step: number;
  readonly trainingDeadline: number;
}

const createDraw = (seed: number) => {
  const random = createRandom(seed);
  return (): number => {
    const share = (random.nextInteger(randomBound) + 1) / randomBound;
    return Math.min(longestAnswer, Math.round(shortestAnswer / share ** (1 / tailShape)));
  };
};

const createBenchInstallation = (seed: number) => {
  const deployment = createTestDeployment(daemons, voters);
  const latencies = { withinZone: 0.1, betweenZones: 0.5, betweenRegions: 12, toClients: 3 };
  const links = createLinks(deployment, latencies);
  const drawTokens = createDraw(seed);
  const settings = Array.from({ length: engines }, (_, index) => ({
    name: `e${index + 1}`,
    kind: UpstreamKind.Engine,
    service: 'model',
    zone: `z${(index % 3) + 1}`,
    slots,
    tokensPerSecond,
    answerTokens: shortestAnswer,
    drawTokens,
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
    ports: [upstreams.port, bodies.port, trainers.port],
  });
  upstreams.attach(installation);
  installation.runFor(startMilliseconds);
  return { installation, upstreams, trainers };
};
type BenchInstallation = ReturnType<typeof createBenchInstallation>;

const wishOf = (trainer: number, step: number, version: number): LotSpecification => ({
  workspace: asBrand('one'),
  service: asBrand('model'),
  model: 'model',
  step,
  trainerVersion: version,
  stalenessBound: 1,
  groupCount,
  groupSize,
  maximumTokens: longestAnswer,
  remaining: 600_000,
  request: `trainer-${trainer}-step-${step}`,
});

/** Milliseconds for which each trainer waited for samples, and for which it trained. */
const runTrainers = ({ installation, upstreams, trainers }: BenchInstallation) => {
  let version = 1;
  let waited = 0;
  let trained = 0;
  const open = (trainer: number, step: number): Trainer =>
    trainers.open(`d${(trainer % voters) + 1}`, wishOf(trainer, step, version));

  const swap = (): void => {
    version += 1;
    upstreams
      .names()
      .forEach((name) => upstreams.inject(name, { kind: 'swapWeights', weightVersion: version }));
  };

  const advance = (row: TrainingRow, trainer: number): TrainingRow => {
    const now = installation.now();
    if (row.next !== null) {
      trained += stepMilliseconds;
      if (now < row.trainingDeadline) return row;
      if (trainer === 0) swap();
      Object.assign(row.next, { trainerVersion: version });
      return { lot: row.next, next: null, step: row.step + 1, trainingDeadline: 0 };
    }
    if (row.step >= stepsOfATrainer) return row;
    waited += stepMilliseconds;
    if (row.lot.finishedAt === null) return row;
    const next = open(trainer, row.step + 1);
    return { ...row, next, trainingDeadline: now + trainingMilliseconds };
  };

  let rows: TrainingRow[] = Array.from({ length: trainerCount }, (_, trainer) => ({
    lot: open(trainer, 0),
    next: null,
    step: 0,
    trainingDeadline: 0,
  }));
  while (rows.some((row) => row.step < stepsOfATrainer)) {
    installation.runFor(stepMilliseconds);
    rows = rows.map(advance);
  }
  return { waited, trained };
};

const usageOf = ({ installation }: BenchInstallation) =>
  installation
    .runningNames()
    .flatMap((name) => [...installation.daemon(name).core.world.usage.rows()])
    .reduce(
      (sum, row) => ({
        made: sum.made + row.completionTokens,
        wasted: sum.wasted + row.wastedTokens,
      }),
      { made: 0, wasted: 0 },
    );

const lagsOf = ({ trainers }: BenchInstallation): number[] =>
  trainers
    .deliveries()
    .map(({ spans, trainerVersion }) => Math.max(0, trainerVersion - oldestVersion(spans)!));

const shareOf = (values: readonly number[], value: number): number =>
  values.filter((each) => each === value).length / values.length;

const measureTrainers = (): Measurement[] => {
  const bench = createBenchInstallation(1);
  const { waited, trained } = runTrainers(bench);
  const usage = usageOf(bench);
  const lags = lagsOf(bench);
  const total = usage.made + usage.wasted;
  return [
    { name: 'rollout_trainer_idle_share', value: waited / (waited + trained), unit: 'ratio' },
    { name: 'rollout_samples_current', value: shareOf(lags, 0), unit: 'ratio' },
    { name: 'rollout_samples_one_version_old', value: shareOf(lags, 1), unit: 'ratio' },
    { name: 'rollout_oldest_sample', value: Math.max(...lags), unit: 'versions' },
    { name: 'rollout_wasted_tokens', value: usage.wasted / total, unit: 'ratio' },
  ];
};

/** Measures rollouts at the size of Kestrelkloof, and what a sample costs the ledger. */
export const runRolloutBench = (): Promise<readonly Measurement[]> =>
  Promise.resolve([...measureTrainers(), ...measureLedgerCost()]);
