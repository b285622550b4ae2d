/**
 * The budget alone: whenever permits are granted as soon as it allows and used at any time of their
 * lifetime, no second sees more requests than the limit. Guards against a window that does not
 * include the lifetime of a permit.
 */
import test from 'ava';
import { createRandom } from '../../../../base/common/random.js';
import type { Instant } from '../../../../base/common/time.js';
import {
  budgetWindowMilliseconds,
  computeBudget,
  computeRequestLimit,
  computeRetryInstant,
  computeRoomInstant,
  countGrantablePermits,
  permitLifetimeMilliseconds,
  type ColdLimits,
} from '../../common/coldBudget.js';

const schedules = 2_000;
const durationMilliseconds = 6_000;
const firstLimits: ColdLimits = { requestsPerSecond: 12, factor: 1.5, slack: 5 };

type CountGrantable = typeof countGrantablePermits;

/** Returns the largest number of instants in a second. */
const countMostInSecond = (instants: readonly Instant[]): number => {
  const sorted = [...instants].sort((first, second) => first - second);
  let first = 0;
  return sorted.reduce((most, instant, index) => {
    while (instant - sorted[first]! >= 1_000) first += 1;
    return Math.max(most, index - first + 1);
  }, 0);
};

const explore = (seed: number, countGrantable: CountGrantable): number => {
  const random = createRandom(seed);
  const limits = {
    requestsPerSecond: 1 + random.nextInteger(20),
    factor: 1 + random.nextInteger(11) / 10,
    slack: random.nextInteger(6),
  };
  const grants: Instant[] = [];
  const sends: Instant[] = [];
  let now = 0;
  while (now < durationMilliseconds) {
    const count = Math.min(countGrantable(limits, grants, now), 1 + random.nextInteger(30));
    for (let permit = 0; permit < count; permit += 1) {
      grants.push(now);
      sends.push(now + random.nextInteger(2) * (permitLifetimeMilliseconds - 1));
    }
    now += random.nextInteger(2) === 0 ? 1 + random.nextInteger(300) : 100;
  }
  return countMostInSecond(sends) - computeRequestLimit(limits);
};

const findExcess = (countGrantable: CountGrantable): number =>
  Math.max(...Array.from({ length: schedules }, (_, seed) => explore(seed, countGrantable)));

test('the budget of the first installation is 17 permits in 1,400 ms', (t) => {
  t.is(computeRequestLimit(firstLimits), 23);
  t.is(computeBudget(firstLimits), 17);
  t.is(budgetWindowMilliseconds, 1_400);
});

test('no second sees more requests than the limit', (t) => {
  t.true(findExcess(countGrantablePermits) <= 0);
});

test('mutation: a budget window without the lifetime of permits exceeds the limit', (t) => {
  const excess = findExcess((limits, grants, now) =>
    countGrantablePermits(
      limits,
      grants.map((instant) => instant - permitLifetimeMilliseconds),
      now,
    ),
  );
  t.true(excess > 0);
});

test('there is room exactly from the instant that is computed', (t) => {
  for (let seed = 0; seed < schedules; seed += 1) {
    const random = createRandom(seed);
    const grants = Array.from({ length: random.nextInteger(40) }, () => random.nextInteger(1_400));
    grants.sort((first, second) => first - second);
    const now = 1_400;
    const room = computeRoomInstant(firstLimits, grants, now);
    t.true(countGrantablePermits(firstLimits, grants, room) > 0);
    if (room > now) t.is(countGrantablePermits(firstLimits, grants, room - 1), 0);
  }
});

test('refused daemons are given different times, of which one is when there is room', (t) => {
  const room = 1_400;
  let last = Number.NEGATIVE_INFINITY;
  const instants = Array.from({ length: 70 }, () => {
    last = computeRetryInstant(firstLimits, room, last, 0);
    return last;
  });
  t.is(instants[0], room);
  t.true(instants.every((instant) => instant >= room && instant <= 3 * budgetWindowMilliseconds));
  t.is(new Set(instants).size, instants.length);
});

test('a service whose limit is below one request grants nothing', (t) => {
  const limits = { requestsPerSecond: 0.5, factor: 1.5, slack: 0 };
  t.is(countGrantablePermits(limits, [], 0), 0);
  t.true(computeRoomInstant(limits, [], 0) > 0);
});
