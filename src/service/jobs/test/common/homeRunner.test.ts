/** Jobs with home regions run on a runner there; others run on the leader. */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { worldOf } from '../../../../../standins/virtual/inspection.js';
import { EventKind } from '../../../events/common/eventKind.js';
import type { ProposalId } from '../../../consensus/common/consensusTables.js';
import { ItemResult } from '../../common/jobCommands.js';
import { runnerCurrencyMilliseconds } from '../../common/jobRunner.js';
import { runnerLossMilliseconds } from '../../common/runnerChoice.js';
import {
  controlNames,
  createRunnerFleet,
  engineSlots,
  holders,
  homeColumns,
  itemMilliseconds,
  overlapsOf,
  peakLoadOf,
} from './runnerFleet.js';

const itemCount = 6;

/** Items that take 12 s, longer than all that the tests do to a runner. */
const longItemCount = 12 * engineSlots;
const halfItemMilliseconds = itemMilliseconds / 2;
const finishMilliseconds = 2 * itemMilliseconds;
const takeoverMilliseconds = 6_000;
const seeds = [1, 2, 3];

seeds.forEach((seed) => {
  test(`a job with home regions runs on a holder and not on the leader (seed ${seed})`, (t) => {
    const fleet = createRunnerFleet(seed);
    fleet.submitJob('j', itemCount, homeColumns);
    const { runner } = fleet.jobAt('j');
    t.true(holders.includes(runner!));
    t.not(runner, fleet.leader());
    t.is(worldOf(fleet.installation, fleet.leader()).runs.size(), 0);

    // Partial texts would be in the log after the interval of saving.
    fleet.installation.runFor(itemMilliseconds - 100);
    controlNames.forEach((name) => {
      const items = [...worldOf(fleet.installation, name).jobItems.rows()];
      t.true(items.every(({ saved }) => saved === null));
    });

    fleet.installation.runFor(finishMilliseconds);
    t.is(fleet.jobAt('j').listed, itemCount);
    t.deepEqual([...new Set(fleet.executionsOf('j').map(({ daemon }) => daemon))], [runner!]);
    t.is(fleet.executionsOf('j').length, itemCount);
  });

  test(`runs go on when the leader is lost, and their texts are kept (seed ${seed})`, (t) => {
    const fleet = createRunnerFleet(seed);
    fleet.submitJob('j', itemCount, homeColumns);
    fleet.installation.runFor(halfItemMilliseconds);
    const { runner } = fleet.jobAt('j');
    fleet.installation.stop(fleet.leader());
    fleet.installation.runFor(takeoverMilliseconds);

    t.is(fleet.jobAt('j').runner, runner);
    t.is(fleet.jobAt('j').listed, itemCount);
    t.is(fleet.executionsOf('j').length, itemCount);
  });

  test(`another holder takes over when the runner is lost (seed ${seed})`, (t) => {
    const fleet = createRunnerFleet(seed);
    fleet.submitJob('j', itemCount, homeColumns);
    fleet.installation.runFor(halfItemMilliseconds);
    const runner = fleet.jobAt('j').runner!;
    const lostAt = fleet.installation.now();
    fleet.installation.stop(runner);
    fleet.installation.runFor(takeoverMilliseconds + finishMilliseconds);

    t.is(fleet.jobAt('j').listed, itemCount);
    const others = fleet.executionsOf('j').filter(({ daemon }) => daemon !== runner);
    t.is(others.length, itemCount);
    const takenOverAfter = Math.min(...others.map(({ startedAt }) => startedAt)) - lostAt;
    t.log(`taken over after ${takenOverAfter} ms`);
    t.true(takenOverAfter <= takeoverMilliseconds);
    t.true(others.every(({ daemon }) => holders.includes(daemon)));
    t.deepEqual(overlapsOf(fleet.executionsOf('j')), []);
  });

  test(`a runner that is cut off stops before another one starts (seed ${seed})`, (t) => {
    const fleet = createRunnerFleet(seed);
    // More items than slots, so that the runner would start further ones while it is cut off.
    fleet.submitJob('j', longItemCount, homeColumns);
    fleet.installation.runFor(halfItemMilliseconds);
    const runner = fleet.jobAt('j').runner!;
    const cutAt = fleet.installation.now();
    const otherNames = controlNames.filter((name) => name !== runner);
    otherNames.forEach((name) => fleet.installation.cut(runner, name));
    fleet.installation.runFor(runnerCurrencyMilliseconds + takeoverMilliseconds);

    const own = fleet.executionsOf('j').filter(({ daemon }) => daemon === runner);
    t.true(own.some(({ startedAt }) => startedAt > cutAt));
    t.true(own.every(({ endedAt }) => endedAt <= cutAt + runnerCurrencyMilliseconds));
    const others = fleet.executionsOf('j').filter(({ daemon }) => daemon !== runner);
    t.true(others.length > 0);
    t.true(others.every(({ startedAt }) => startedAt > cutAt + runnerCurrencyMilliseconds));

    otherNames.forEach((name) => fleet.installation.heal(runner, name));
    fleet.installation.runFor(4 * takeoverMilliseconds);
    t.is(fleet.jobAt('j').listed, longItemCount);
    t.deepEqual(overlapsOf(fleet.executionsOf('j')), []);
    t.true(others.every(({ daemon }) => daemon === fleet.jobAt('j').runner));
  });

  test(`a runner that follows a relay stops before another one starts (seed ${seed})`, (t) => {
    const fleet = createRunnerFleet(seed);
    // The first holder is a learner, whose log state only relays confirm.
    fleet.submitJob('j', longItemCount, { homeRegions: ['r2'], holders: ['d6', 'd3'] });
    t.is(fleet.jobAt('j').runner, 'd6');
    fleet.installation.runFor(halfItemMilliseconds);
    const otherNames = controlNames.filter((name) => name !== 'd6');
    otherNames.forEach((name) => fleet.installation.cut('d6', name));
    fleet.installation.runFor(2 * takeoverMilliseconds);

    t.is(fleet.jobAt('j').runner, 'd3');
    t.true(fleet.executionsOf('j').some(({ daemon }) => daemon === 'd3'));
    t.deepEqual(overlapsOf(fleet.executionsOf('j')), []);
  });

  test(`a new leader waits for a runner that followed its predecessor (seed ${seed})`, (t) => {
    const fleet = createRunnerFleet(seed);
    fleet.submitJob('j', longItemCount, homeColumns);
    fleet.installation.runFor(halfItemMilliseconds);
    const runner = fleet.jobAt('j').runner!;
    const leader = fleet.leader();
    const otherNames = controlNames.filter((name) => name !== runner && name !== leader);
    // The runner reaches only the leader, and the other daemons suspect it before the leader ends.
    otherNames.forEach((name) => fleet.installation.cut(runner, name));
    fleet.installation.runFor(takeoverMilliseconds);
    fleet.installation.stop(leader);
    const lostAt = fleet.installation.now();
    fleet.installation.runFor(takeoverMilliseconds + finishMilliseconds);

    const others = fleet.executionsOf('j').filter(({ daemon }) => daemon !== runner);
    t.true(others.length > 0);
    t.true(others.every(({ startedAt }) => startedAt > lostAt + runnerCurrencyMilliseconds));
    t.deepEqual(overlapsOf(fleet.executionsOf('j')), []);
  });

  test(`a runner that was frozen does not go on after it was replaced (seed ${seed})`, (t) => {
    const fleet = createRunnerFleet(seed);
    fleet.submitJob('j', itemCount, homeColumns);
    fleet.installation.runFor(halfItemMilliseconds);
    const runner = fleet.jobAt('j').runner!;
    fleet.installation.freeze(runner);
    fleet.installation.runFor(takeoverMilliseconds);
    fleet.installation.thaw(runner);
    const thawedAt = fleet.installation.now();
    fleet.installation.runFor(finishMilliseconds);

    const own = fleet.executionsOf('j').filter(({ daemon }) => daemon === runner);
    t.true(own.every(({ startedAt, endedAt }) => startedAt < thawedAt && endedAt <= thawedAt));
    t.is(worldOf(fleet.installation, runner).runs.size(), 0);
    t.is(fleet.jobAt('j').listed, itemCount);
  });

  test(`a runner that was cut off for a short time goes on with the job (seed ${seed})`, (t) => {
    const fleet = createRunnerFleet(seed);
    fleet.submitJob('j', itemCount, homeColumns);
    fleet.installation.runFor(halfItemMilliseconds);
    const runner = fleet.jobAt('j').runner!;
    const otherNames = controlNames.filter((name) => name !== runner);
    otherNames.forEach((name) => fleet.installation.cut(runner, name));
    // The items are complete while it is cut off, and it stops being current with their results.
    fleet.installation.runFor(runnerCurrencyMilliseconds + 200);
    t.true(worldOf(fleet.installation, runner).runs.size() > 0);
    otherNames.forEach((name) => fleet.installation.heal(runner, name));
    fleet.installation.runFor(finishMilliseconds);
    t.is(fleet.jobAt('j').runner, runner);
    t.is(fleet.jobAt('j').listed, itemCount);
    t.is(fleet.executionsOf('j').length, itemCount);
  });

  test(`runners do not use slots that another runner occupies (seed ${seed})`, (t) => {
    const fleet = createRunnerFleet(seed);
    fleet.submitJob('plain', 2 * engineSlots - 2);
    fleet.installation.runFor(halfItemMilliseconds / 2);
    fleet.submitJob('home', itemCount, homeColumns);
    fleet.installation.runFor(3 * finishMilliseconds);

    t.is(fleet.jobAt('plain').listed, 2 * engineSlots - 2);
    t.is(fleet.jobAt('home').listed, itemCount);
    ['e1', 'e2'].forEach((engine) =>
      t.true(peakLoadOf(fleet.engines.executions(), engine) <= engineSlots),
    );
  });
});

test('results of a daemon that does not run the job are rejected', (t) => {
  const fleet = createRunnerFleet(4);
  fleet.submitJob('j', itemCount, homeColumns);
  const { runner } = fleet.jobAt('j');
  const [former] = holders.filter((name) => name !== runner);
  const result = {
    item: 'j-0',
    result: ItemResult.Completed,
    text: 'x',
    versions: [1],
    score: null,
  };
  fleet.propose(former!, 'late', { kind: 'itemsListed', job: 'j', results: [result] });
  fleet.installation.runFor(500);

  const { proposalOutcomes } = worldOf(fleet.installation, former!);
  const outcome = proposalOutcomes.get(asBrand<ProposalId>('late'))?.outcome;
  t.like(outcome, { kind: 'rejected', rejection: { kind: 'notRunner' } });
  t.is(fleet.jobAt('j').listed, 0);
});

test('several jobs are shared among the holders in the home regions', (t) => {
  const fleet = createRunnerFleet(5);
  ['a', 'b'].forEach((job) => fleet.submitJob(job, 1, homeColumns));
  t.not(fleet.jobAt('a').runner, fleet.jobAt('b').runner);
  // A holder outside the home regions is never appointed.
  fleet.submitJob('c', 1, { homeRegions: ['r2'], holders: ['d1', 'd2', 'd6'] });
  t.is(fleet.jobAt('c').runner, 'd6');
});

test('a leaving runner stops, and another holder takes over at once', (t) => {
  const fleet = createRunnerFleet(6);
  fleet.submitJob('j', itemCount, homeColumns);
  fleet.installation.runFor(halfItemMilliseconds);
  const runner = fleet.jobAt('j').runner!;
  worldOf(fleet.installation, runner).setLeaving();
  fleet.installation.wake(runner);
  t.is(worldOf(fleet.installation, runner).runs.size(), 0);
  fleet.installation.runFor(runnerLossMilliseconds / 2);
  t.not(fleet.jobAt('j').runner, runner);
  fleet.installation.runFor(finishMilliseconds);
  t.is(fleet.jobAt('j').listed, itemCount);
  t.deepEqual(overlapsOf(fleet.executionsOf('j')), []);
});

test('a job waits for a runner while no holder is left, and runs when one is back', (t) => {
  const fleet = createRunnerFleet(7);
  // All daemons of the region r2, so that no other one becomes a holder.
  const [holder, other] = ['d3', 'd6'] as const;
  [holder, other].forEach((name) => fleet.installation.stop(name));
  fleet.installation.runFor(takeoverMilliseconds);
  fleet.submitJob('j', itemCount, { homeRegions: ['r2'], holders: [holder] });
  fleet.installation.runFor(takeoverMilliseconds);
  t.is(fleet.jobAt('j').runner, null);
  fleet.installation.start(holder);
  fleet.installation.runFor(takeoverMilliseconds + finishMilliseconds);
  t.is(fleet.jobAt('j').listed, itemCount);
});

test('jobs without home regions run on the leader, and no runner is appointed', (t) => {
  const fleet = createRunnerFleet(8);
  fleet.submitJob('j', itemCount);
  t.is(fleet.jobAt('j').runner, null);
  fleet.installation.runFor(finishMilliseconds);
  t.is(fleet.jobAt('j').listed, itemCount);
  t.deepEqual([...new Set(fleet.executionsOf('j').map(({ daemon }) => daemon))], [fleet.leader()]);
  t.false(fleet.messageKinds.has('engineLoadsReported'));
  t.false(fleet.installation.events().some(({ kind }) => kind === EventKind.RunnerAppointed));
});
