/**
 * Invariants of control under random schedules of crashes, freezes, network cuts, late orders and
 * proposals, with fixed seeds.
 */
import test from 'ava';
import fc from 'fast-check';
import { createRandom } from '../../../src/base/common/random.js';
import { dispatchByKind, type HandlerTable } from '../../../src/base/common/handlers.js';
import { createControlInstallation, type ControlInstallation } from '../controlInstallation.js';

const voterCount = 3;
const daemonCount = 4;
const settleMilliseconds = 30_000;
const maximumFlightMilliseconds = 990;
const shortFlightMilliseconds = 5;

type Step =
  | { readonly kind: 'run'; readonly milliseconds: number }
  | { readonly kind: 'propose'; readonly daemon: number }
  | { readonly kind: 'order'; readonly daemon: number }
  | { readonly kind: 'restart'; readonly daemon: number }
  | { readonly kind: 'stop'; readonly daemon: number }
  | { readonly kind: 'start'; readonly daemon: number }
  | { readonly kind: 'freeze'; readonly daemon: number }
  | { readonly kind: 'thaw'; readonly daemon: number }
  | { readonly kind: 'cut'; readonly daemon: number; readonly other: number }
  | { readonly kind: 'heal'; readonly daemon: number; readonly other: number }
  | { readonly kind: 'flight'; readonly milliseconds: number };

const daemonArbitrary = fc.integer({ min: 1, max: daemonCount });
const stepOf = (kind: Step['kind']) =>
  fc.record({
    kind: fc.constant(kind),
    daemon: daemonArbitrary,
    other: daemonArbitrary,
    milliseconds: fc.oneof(fc.integer({ min: 0, max: 20 }), fc.integer({ min: 0, max: 6_000 })),
  }) as fc.Arbitrary<Step>;

const schedule = fc.array(
  fc.oneof(
    { weight: 8, arbitrary: stepOf('run') },
    { weight: 6, arbitrary: stepOf('propose') },
    { weight: 2, arbitrary: stepOf('order') },
    { weight: 3, arbitrary: stepOf('restart') },
    { weight: 1, arbitrary: stepOf('stop') },
    { weight: 1, arbitrary: stepOf('start') },
    { weight: 2, arbitrary: stepOf('freeze') },
    { weight: 2, arbitrary: stepOf('thaw') },
    { weight: 3, arbitrary: stepOf('cut') },
    { weight: 3, arbitrary: stepOf('heal') },
    { weight: 1, arbitrary: stepOf('flight') },
  ),
  { minLength: 20, maxLength: 60 },
);

const nameOf = (position: number): string => `d${position}`;
const isRunning = (installation: ControlInstallation, name: string): boolean =>
  installation.runningNames().includes(name);

const start = (installation: ControlInstallation, name: string): void => {
  if (!isRunning(installation, name)) installation.start(name);
};

const handlers: HandlerTable<Step, void, [ControlInstallation, number]> = {
  run: ({ milliseconds }, installation) => installation.runFor(milliseconds),
  propose: ({ daemon: at }, installation, count) => {
    if (isRunning(installation, nameOf(at))) installation.propose(nameOf(at), `p${count}`);
  },
  order: ({ daemon: at }, installation, count) => {
    if (!isRunning(installation, nameOf(at))) return;
    installation.proposeOrder(nameOf(at), `o${count}`, count);
  },
  restart: ({ daemon: at }, installation) => {
    installation.stop(nameOf(at));
    installation.start(nameOf(at));
  },
  stop: ({ daemon: at }, installation) => installation.stop(nameOf(at)),
  start: ({ daemon: at }, installation) => start(installation, nameOf(at)),
  freeze: ({ daemon: at }, installation) => {
    if (isRunning(installation, nameOf(at))) installation.freeze(nameOf(at));
  },
  thaw: ({ daemon: at }, installation) => installation.thaw(nameOf(at)),
  cut: ({ daemon: at, other }, installation) => installation.cut(nameOf(at), nameOf(other)),
  heal: ({ daemon: at, other }, installation) => installation.heal(nameOf(at), nameOf(other)),
  flight: ({ milliseconds }, installation) => {
    Object.assign(installation.orders.faults, {
      flight: Math.min(milliseconds, maximumFlightMilliseconds),
    });
  },
};

const restoreInstallation = (installation: ControlInstallation): void => {
  const names = Array.from({ length: daemonCount }, (_, index) => nameOf(index + 1));
  names.forEach((name) => {
    installation.rejoin(name);
    installation.thaw(name);
    start(installation, name);
  });
  Object.assign(installation.orders.faults, { flight: shortFlightMilliseconds });
  installation.runFor(settleMilliseconds);
};

/** Descriptions of the invariants that the run violated. */
const findViolations = (installation: ControlInstallation): string[] => {
  const { history, orders } = installation;
  const missingProposals = installation
    .runningNames()
    .flatMap((name) =>
      installation.missingProposalsAt(name).map((id) => `${id} is missing at ${name}`),
    );
  const fencing = orders.done.map((row) => row.fencing);
  const outOfOrderFencingTokens = fencing.filter(
    (fencingToken, position) => fencingToken < (fencing[position - 1] ?? 0),
  );
  const unfinishedIntents = [...installation.worldOf('d1').intents.rows()].filter(
    (row) => row.result === null,
  );
  return [
    ...history.violations(),
    ...missingProposals,
    ...outOfOrderFencingTokens.map(
      (fencingToken) =>
        `an order with fencing token ${fencingToken} was executed after one with a higher token`,
    ),
    ...unfinishedIntents.map(({ id }) => `${id} has no outcome after all faults are repaired`),
    ...(installation.actingLeader() === undefined
      ? ['no leader after all faults are repaired']
      : []),
  ];
};

const runSchedule = (steps: readonly Step[], seed: number, checksFencing: boolean): string[] => {
  const random = createRandom(seed);
  const installation = createControlInstallation({
    daemons: daemonCount,
    voters: voterCount,
    seed,
    checksFencing,
    latency: () => 1 + random.nextInteger(30),
  });
  installation.runFor(8_000);
  steps.forEach((step, count) => dispatchByKind(handlers, step, installation, count));
  restoreInstallation(installation);
  return findViolations(installation);
};

const checkProperty = (seed: number, checksFencing: boolean): void =>
  fc.assert(
    fc.property(schedule, fc.integer({ min: 1, max: 2 ** 30 }), (steps, runSeed) => {
      const faults = runSchedule(steps, runSeed, checksFencing);
      if (faults.length > 0) throw new Error(faults.join('\n'));
    }),
    { seed, numRuns: 40, endOnFailure: true },
  );

[11, 12].forEach((seed) => {
  test(`control invariants hold, upstream checks fencing, seed ${seed}`, (t) => {
    t.notThrows(() => checkProperty(seed, true));
  });
  test(`control invariants hold, upstream ignores fencing, seed ${seed}`, (t) => {
    t.notThrows(() => checkProperty(seed, false));
  });
});
