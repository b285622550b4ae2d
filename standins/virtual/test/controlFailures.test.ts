/**
 * Failures of control on virtual time; what must always hold is watched over the whole of each run. Tests
 * run one after the other, so that the runner hears of each as it ends.
 */
import test from 'ava';
import { leadershipOf } from '../../../src/service/consensus/common/lease.js';
import {
  assertConsistent,
  createSettledInstallation,
  otherVoter,
  proposeRepeatedly,
  settleMilliseconds,
} from './controlSteps.js';

test.serial(
  'a leader that is isolated for long may not act, loses nothing accepted, and rejoins',
  (t) => {
    const installation = createSettledInstallation();
    const formerLeader = installation.actingLeader()!;
    const otherVoterName = otherVoter(installation, formerLeader);
    proposeRepeatedly(installation, 'd5', 'before', 20);
    installation.isolate(formerLeader);
    const lostProposal = installation.propose(formerLeader, 'lost');
    installation.runFor(settleMilliseconds);
    t.not(installation.actingLeader(), formerLeader);
    t.truthy(installation.actingLeader());
    t.false(installation.history.accepted().has(lostProposal));
    t.true(leadershipOf(installation.worldOf(formerLeader)).freshnessDeadline < installation.now());
    proposeRepeatedly(installation, otherVoterName, 'during', 20);
    installation.runFor(600_000);
    installation.rejoin(formerLeader);
    installation.runFor(settleMilliseconds);
    proposeRepeatedly(installation, formerLeader, 'after', 20);
    installation.runFor(settleMilliseconds);
    t.is(installation.history.accepted().size >= 60, true);
    assertConsistent(t, installation);
  },
);

test.serial('a leader that is frozen past its lease gives no order when it is thawed', (t) => {
  const installation = createSettledInstallation();
  const formerLeader = installation.actingLeader()!;
  installation.proposeOrder(formerLeader, 'first', 1);
  installation.runFor(100);
  t.deepEqual(
    installation.orders.done.map(({ order }) => order),
    ['first'],
  );
  installation.freeze(formerLeader);
  installation.runFor(settleMilliseconds);
  const newLeader = installation.actingLeader()!;
  t.not(newLeader, formerLeader);
  installation.proposeOrder(newLeader, 'second', 2);
  installation.runFor(1_000);
  const sentOrdersBefore = installation.orders.sentOrders.length;
  // The intent reaches the frozen leader's own tables only after the thaw.
  installation.thaw(formerLeader);
  installation.runFor(settleMilliseconds);
  const lateOrders = installation.orders.sentOrders
    .slice(sentOrdersBefore)
    .filter((row) => row.daemon === formerLeader);
  t.deepEqual(lateOrders, []);
  t.deepEqual(
    installation.orders.done.map(({ order }) => order),
    ['first', 'second'],
  );
  assertConsistent(t, installation);
});

test.serial(
  'a lost majority accepts nothing, and after its return all that was accepted is there',
  (t) => {
    const installation = createSettledInstallation({ voters: 5, daemons: 7 });
    proposeRepeatedly(installation, 'd7', 'before', 50);
    installation.runFor(1_000);
    const accepted = installation.history.accepted().size;
    ['d1', 'd2', 'd3'].forEach((name) => installation.stop(name));
    installation.runFor(settleMilliseconds);
    const proposalDuringLoss = installation.propose('d7', 'during');
    installation.runFor(settleMilliseconds);
    t.is(installation.actingLeader(), undefined);
    t.is(installation.history.accepted().size, accepted);
    const outcome = installation.worldOf('d7').proposalOutcomes.get(proposalDuringLoss)?.outcome;
    t.like(outcome, { kind: 'rejected', rejection: { kind: 'noLeader' } });
    ['d1', 'd2', 'd3'].forEach((name) => installation.start(name));
    installation.runFor(2 * settleMilliseconds);
    t.truthy(installation.actingLeader());
    t.false(installation.worldOf('d1').rememberedOutcomes.has(proposalDuringLoss));
    assertConsistent(t, installation);
  },
);

test.serial('a second VM that is lost right after a repair loses nothing accepted', (t) => {
  const installation = createSettledInstallation();
  const [first, second] = installation.voterNames as [string, string];
  installation.stop(first);
  installation.runFor(settleMilliseconds);
  proposeRepeatedly(installation, 'd5', 'during', 100);
  installation.runFor(1_000);
  installation.start(first);
  // It has come back and has not caught up when the second is lost.
  installation.runFor(3);
  installation.stop(second);
  installation.runFor(2 * settleMilliseconds);
  proposeRepeatedly(installation, 'd5', 'after', 10);
  installation.runFor(settleMilliseconds);
  t.truthy(installation.actingLeader());
  t.true(installation.history.accepted().size >= 110);
  assertConsistent(t, installation);
});

test.serial('every daemon restarts in turn and at once after hundreds of changes', (t) => {
  const installation = createSettledInstallation();
  proposeRepeatedly(installation, 'd4', 'change', 400);
  installation.runFor(1_000);
  installation.voterNames.forEach((name) => {
    installation.stop(name);
    installation.start(name);
    installation.runFor(settleMilliseconds);
  });
  ['d1', 'd2', 'd3', 'd4', 'd5'].forEach((name) => installation.stop(name));
  ['d1', 'd2', 'd3', 'd4', 'd5'].forEach((name) => installation.start(name));
  installation.runFor(settleMilliseconds);
  t.true(installation.history.accepted().size >= 400);
  assertConsistent(t, installation);
});

test.serial(
  'a crash of any voter between any two steps of an acceptance loses nothing accepted',
  (t) => {
    // Latencies and syncs take 1 ms, so halves of a millisecond fall between all steps.
    for (let halves = 0; halves < 16; halves += 1) {
      const installation = createSettledInstallation({ seed: 3 });
      const voters = installation.voterNames;
      voters.forEach((name, position) => {
        installation.propose('d5', `crash-${position}`);
        installation.runFor(halves / 2);
        installation.stop(name);
        installation.runFor(settleMilliseconds);
        installation.start(name);
        installation.runFor(settleMilliseconds);
      });
      voters.forEach((name) => installation.stop(name));
      voters.forEach((name) => installation.start(name));
      installation.runFor(settleMilliseconds);
      assertConsistent(t, installation);
    }
  },
);

test.serial(
  'an order that comes late from an old leader changes nothing at an upstream of either kind',
  (t) => {
    [true, false].forEach((checksFencing) => {
      const installation = createSettledInstallation({ checksFencing });
      const formerLeader = installation.actingLeader()!;
      installation.orders.faults.flight = 900;
      installation.proposeOrder(formerLeader, 'first', 1);
      installation.runFor(20);
      t.is(installation.orders.sentOrders.length, 1);
      installation.stop(formerLeader);
      installation.orders.faults.flight = 5;
      installation.runFor(settleMilliseconds);
      installation.proposeOrder(installation.actingLeader()!, 'second', 2);
      installation.runFor(settleMilliseconds);
      t.deepEqual(
        installation.orders.done.map(({ order }) => order),
        ['first', 'second'],
      );
      t.deepEqual(installation.history.violations(), []);
    });
  },
);

test.serial('an order whose answer is lost is read back and not carried out twice', (t) => {
  const installation = createSettledInstallation();
  const leader = installation.actingLeader()!;
  installation.orders.faults.dropsAnswers = true;
  installation.proposeOrder(leader, 'first', 1);
  installation.runFor(4_000);
  installation.orders.faults.dropsAnswers = false;
  installation.runFor(settleMilliseconds);
  t.is(installation.orders.sentOrders.length, 1);
  const { intents } = installation.worldOf(leader);
  t.deepEqual(
    [...intents.rows()].map(({ result }) => result),
    ['done'],
  );
});

test.serial('a full disk ends the part of a voter with an error, and the others go on', (t) => {
  const installation = createSettledInstallation();
  const formerLeader = installation.actingLeader()!;
  installation.disk(formerLeader).faults.isFull = true;
  installation.propose('d5', 'full');
  installation.runFor(settleMilliseconds);
  t.is(installation.worldOf(formerLeader).replica.rows().next().value?.state, 'failed');
  t.truthy(installation.actingLeader());
  t.true(installation.events().some(({ kind }) => kind === 'storageFailed'));
  installation.disk(formerLeader).faults.isFull = false;
  installation.stop(formerLeader);
  installation.start(formerLeader);
  installation.runFor(settleMilliseconds);
  assertConsistent(t, installation);
});

test.serial('a voter whose disk has a flipped bit takes no part and the others keep all', (t) => {
  const installation = createSettledInstallation();
  proposeRepeatedly(installation, 'd5', 'before', 20);
  installation.stop('d1');
  installation.disk('d1').flipBit(200);
  installation.start('d1');
  installation.runFor(settleMilliseconds);
  t.is(installation.worldOf('d1').replica.rows().next().value?.state, 'failed');
  t.deepEqual(installation.history.violations(), []);
  ['d2', 'd3'].forEach((name) => t.deepEqual(installation.missingProposalsAt(name), []));
});

test.serial('the copy of a leader counts only once it is synced', (t) => {
  const installation = createSettledInstallation();
  const leader = installation.actingLeader()!;
  const [first, second] = installation.voterNames.filter((name) => name !== leader) as [
    string,
    string,
  ];
  installation.disk(leader).faults.extraSyncDelay = 300;
  installation.cut(leader, second);
  installation.cut(first, second);
  installation.propose(leader, 'slow');
  installation.runFor(100);
  installation.stop(leader);
  installation.stop(first);
  installation.heal(leader, second);
  installation.heal(first, second);
  installation.start(leader);
  installation.runFor(2 * settleMilliseconds);
  assertConsistent(t, installation);
});

test.serial('a voter that alone does not hear the leader starts no term', (t) => {
  const installation = createSettledInstallation();
  const leader = installation.actingLeader()!;
  const { term } = leadershipOf(installation.worldOf(leader));
  installation.cut(leader, otherVoter(installation, leader));
  installation.runFor(60_000);
  t.is(installation.actingLeader(), leader);
  t.is(leadershipOf(installation.worldOf(leader)).term, term);
});

test.serial(
  'a second VM that is lost right after the disk of the first was replaced loses nothing',
  (t) => {
    const installation = createSettledInstallation();
    const leader = installation.actingLeader()!;
    const [first, second] = installation.voterNames.filter((name) => name !== leader) as [
      string,
      string,
    ];
    installation.cut(leader, second);
    installation.cut(first, second);
    proposeRepeatedly(installation, leader, 'before', 20);
    installation.runFor(1_000);
    installation.stop(first);
    installation.disk(first).clear();
    installation.stop(leader);
    installation.start(first);
    installation.heal(first, second);
    installation.heal(leader, second);
    installation.runFor(settleMilliseconds);
    t.is(installation.actingLeader(), undefined);
    installation.start(leader);
    installation.runFor(2 * settleMilliseconds);
    t.truthy(installation.actingLeader());
    assertConsistent(t, installation);
    installation.stop(leader);
    installation.runFor(settleMilliseconds);
    t.truthy(installation.actingLeader(), 'the replaced voter has joined');
  },
);

test.serial('a voter with a new disk is caught up by the leader and joins', (t) => {
  const installation = createSettledInstallation();
  const name = otherVoter(installation, installation.actingLeader()!);
  installation.stop(name);
  installation.disk(name).clear();
  installation.start(name);
  installation.runFor(settleMilliseconds);
  t.true(installation.worldOf(name).replica.rows().next().value?.hasJoined);
  assertConsistent(t, installation);
});
