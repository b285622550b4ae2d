/**
 * Schedules of faults with one upstream that returns cold: freezes, also between a decision and its
 * write, partitions, restarts, changes of the leader, and lost, late and doubled messages. No second
 * may see more requests than the limit while the upstream is cold. Each mutation is a defect that
 * must be found. `COLD_SCHEDULES` sets the number of schedules.
 */
import test from 'ava';
import { createRandom, type Random } from '../../../../base/common/random.js';
import { never, type Instant, type Milliseconds } from '../../../../base/common/time.js';
import {
  budgetWindowMilliseconds,
  computeRequestLimit,
  permitLifetimeMilliseconds,
} from '../../common/coldBudget.js';
import { createColdFleet, type ColdFleet, type Mutation } from './coldFleet.js';

const schedules = Number(process.env.COLD_SCHEDULES ?? 100);
const daemons = 4;
const stepMilliseconds = 30;
/** Longest step while no calls arrive. */
const idleStepMilliseconds = 200;
const reportIntervalMilliseconds: Milliseconds = 1_000;
/**
 * The upstream is silent for this time before it returns: the time after which reports are overdue
 * (2,200), the delay of the last one (120), and a suspension that is too short to be noticed (1,000).
 * A daemon can take an upstream that returns sooner for warm.
 */
const absenceMilliseconds: Milliseconds = 3_400;
const firstReturnMilliseconds: Milliseconds = 6_000;
const durationMilliseconds: Milliseconds = 9_500;
/** Calls arrive from this time before the return on; earlier ones do not matter. */
const callLeadMilliseconds: Milliseconds = 300;

interface Outcome {
  /** Most requests in a second while the upstream was cold, above the limit; negative if below. */
  readonly excess: number;
  readonly coldSends: number;
}

interface ColdPeriod {
  readonly startedAt: Instant;
  readonly endsAt: Instant;
}

const countMostInSecond = (instants: readonly Instant[]): number =>
  instants.reduce(
    (most, instant) =>
      Math.max(
        most,
        instants.filter((other) => other >= instant && other < instant + 1_000).length,
      ),
    0,
  );

const frozenMilliseconds = [30, 400, 900, 1_300, 1_600, 2_000] as const;

/** Faults by number; each is applied to one daemon. */
const faults: readonly ((fleet: ColdFleet, daemon: number, random: Random) => void)[] = [
  (fleet, daemon, random) => fleet.freeze(daemon, frozenMilliseconds[random.nextInteger(6)]!),
  (fleet, daemon, random) =>
    fleet.freezeBeforeWrite(daemon, frozenMilliseconds[random.nextInteger(6)]!),
  (fleet, daemon, random) => fleet.cut(daemon, 200 + random.nextInteger(4_000)),
  (fleet, daemon) => fleet.restart(daemon),
];

/** Returns the daemons whose request for permits has no answer yet. */
const listAsking = (fleet: ColdFleet): number[] =>
  Array.from({ length: daemons }, (_, index) => index).filter((index) =>
    [...fleet.worldOf(index).coldRequests.rows()].some(({ request }) => request !== null),
  );

const runSchedule = (seed: number, mutation: Mutation): Outcome => {
  const random = createRandom(seed);
  const limits = {
    requestsPerSecond: 3 + random.nextInteger(10),
    factor: 1 + random.nextInteger(3) / 4,
    slack: random.nextInteger(3) * 2,
  };
  const coldMilliseconds = 2_000 + random.nextInteger(1_500);
  const fleet = createColdFleet({
    daemons,
    limits,
    coldMilliseconds,
    random,
    lossPercent: random.nextInteger(3) * 8,
    doublePercent: random.nextInteger(3) * 10,
    mutation,
  });
  const faultPercent = random.nextInteger(4) * 3;
  const isLeaderStable = random.nextInteger(2) === 0;
  const isReporting = random.nextInteger(4) > 0;
  const periods: ColdPeriod[] = [];
  let term = 0;
  let leader = 0;
  let leaseEnd: Instant = 0;
  let nextLeaderAt: Instant = 100;
  let sequence = 0;
  let nextReportAt: Instant = 0;
  let returnAt: Instant = firstReturnMilliseconds;
  let startedAt: Instant = 0;
  let warmAt: Instant = 0;

  const lead = (): void => {
    if (fleet.now() < nextLeaderAt) return;
    leader = random.nextInteger(daemons);
    term += 1;
    leaseEnd =
      fleet.now() + (isLeaderStable ? durationMilliseconds : 300 + random.nextInteger(6_000));
    nextLeaderAt = leaseEnd + random.nextInteger(600);
    fleet.lead(leader, term, leaseEnd);
  };

  const report = (): void => {
    const now = fleet.now();
    if (now >= returnAt) {
      startedAt = now;
      warmAt = now + coldMilliseconds;
      periods.push({ startedAt, endsAt: warmAt });
      returnAt = never;
      nextReportAt = now;
    }
    const isAbsent = now > returnAt - absenceMilliseconds;
    if (now < nextReportAt || isAbsent) return;
    nextReportAt = now + reportIntervalMilliseconds;
    sequence += 1;
    const remaining = Math.max(0, warmAt - now);
    fleet.report({
      startedAt,
      sequence,
      ...(isReporting ? { coldMilliseconds: remaining } : {}),
    });
  };

  const injectFault = (): void => {
    if (fleet.now() < firstReturnMilliseconds || random.nextInteger(100) >= faultPercent) return;
    const targets = [leader, random.nextInteger(daemons), ...listAsking(fleet)];
    const daemon = targets[random.nextInteger(targets.length)]!;
    const kind = random.nextInteger(faults.length);
    const isLeaderRestart = kind === 3 && daemon === leader;
    faults[kind]!(fleet, daemon, random);
    // A leader that restarts leads no more; another one can follow when its lease has ended.
    if (isLeaderRestart) nextLeaderAt = leaseEnd;
  };

  // Frozen before it reads the answer to its request, or before it writes what it decided to send.
  const targeted = [fleet.freeze, fleet.freezeBeforeWrite][random.nextInteger(4)];
  let hasTargeted = targeted === undefined;
  const freezeAsking = (): void => {
    const asking = listAsking(fleet).find((daemon) => daemon !== leader);
    if (hasTargeted || asking === undefined) return;
    hasTargeted = true;
    targeted!(asking, 1_300 + random.nextInteger(700));
  };
  // Suspended while the upstream still reported, and resumed around its return.
  const isSuspended = random.nextInteger(3) === 0;
  const suspendAt = 1_200 + random.nextInteger(1_300);
  let hasSuspended = false;
  while (fleet.now() < durationMilliseconds) {
    if (isSuspended && !hasSuspended && fleet.now() >= suspendAt) {
      hasSuspended = true;
      fleet.freeze(random.nextInteger(daemons), 3_600 + random.nextInteger(1_600));
    }
    lead();
    report();
    freezeAsking();
    injectFault();
    const hasCalls = fleet.now() > firstReturnMilliseconds - callLeadMilliseconds;
    for (let daemon = 0; hasCalls && daemon < daemons; daemon += 1)
      if (random.nextInteger(4) === 0) fleet.addCalls(daemon, 1 + random.nextInteger(6));
    fleet.step(1 + random.nextInteger(hasCalls ? 2 * stepMilliseconds : idleStepMilliseconds));
  }
  const coldSends = fleet
    .sendInstants()
    .filter((at) => periods.some((period) => at >= period.startedAt && at < period.endsAt));
  return {
    excess: countMostInSecond(coldSends) - computeRequestLimit(limits),
    coldSends: coldSends.length,
  };
};

test('no second sees more requests to a cold upstream than the limit', (t) => {
  const outcomes = Array.from({ length: schedules }, (_, seed) => runSchedule(seed + 1, {}));
  const excessive = outcomes.flatMap(({ excess }, index) =>
    excess > 0 ? [[index + 1, excess]] : [],
  );
  const sends = outcomes.reduce((sum, { coldSends }) => sum + coldSends, 0);
  const busy = outcomes.filter(({ coldSends }) => coldSends > 0).length;
  const nearest = Math.max(...outcomes.map(({ excess }) => excess));
  t.log(`${schedules} schedules, ${busy} with sends, ${sends} sends, nearest to limit ${nearest}`);
  t.deepEqual(excessive, []);
  t.true(busy > schedules / 2);
});

/** Defects of the code, by name, as the effect that they have on the rows of a daemon. */
const mutations: Readonly<Record<string, Mutation>> = {
  'permit lifetime not checked at the send': {
    onDidTick: (world) => {
      [...world.coldPermits.rows()].forEach(({ id }) =>
        world.coldPermits.change(id, { permitDeadline: never }),
      );
      [...world.coldRequests.rows()].forEach(({ id }) =>
        world.coldRequests.change(id, { permitDeadline: never }),
      );
    },
    hasUncheckedPort: true,
  },
  'new leader grants at once': {
    onDidTick: (world, now) =>
      [...world.coldLeaderships.rows()].forEach(({ id }) =>
        world.coldLeaderships.change(id, { grantDeadline: now }),
      ),
  },
  'budget window without the lifetime': {
    onDidTick: (world, now) =>
      [...world.coldBudgets.rows()].forEach(({ id, grants }) =>
        world.coldBudgets.change(id, {
          grants: grants.filter(
            (at) => at > now - (budgetWindowMilliseconds - permitLifetimeMilliseconds),
          ),
        }),
      ),
  },
  'port does not check the permit': { hasUncheckedPort: true },
  'a suspended daemon trusts what it knew': {
    onDidTick: (world) =>
      [...world.coldClocks.rows()].forEach(({ id }) => world.coldClocks.remove(id)),
  },
};

/** Schedules in which a mutation must be found; the rarest needed 21 of them. */
const mutationSchedules = 200;

const findExcessiveSeed = (mutation: Mutation): number | undefined =>
  Array.from({ length: mutationSchedules }, (_, seed) => seed + 1).find(
    (seed) => runSchedule(seed, mutation).excess > 0,
  );

Object.entries(mutations).forEach(([name, mutation]) =>
  test(`mutation: ${name} exceeds the limit`, (t) => {
    const seed = findExcessiveSeed(mutation);
    t.log(`the first of the schedules is ${seed}`);
    t.not(seed, undefined);
  }),
);
