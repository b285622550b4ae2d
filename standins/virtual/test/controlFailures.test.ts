/**
 * Failures of the control daemons on virtual time. The invariants of control are checked during the
 * whole of each run. Tests run serially so that the runner receives each result as it completes and
 * does not time out.
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
  'a leader isolated for a long time cannot act, loses no accepted proposal and rejoins',
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

test.serial('a leader frozen past its lease sends no order after it is thawed', (t) => {
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
  // The frozen leader applies the second intent only after the thaw.
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
  'without a majority no proposal is accepted, and all earlier ones are kept after recovery',
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

test.serial(
  'losing a second VM right after the first one is repaired loses no accepted proposal',
  (t) => {
    const installation = createSettledInstallation();
    const [first, second] = installation.voterNames as [string, string];
    installation.stop(first);
    installation.runFor(settleMilliseconds);
    proposeRepeatedly(installation, 'd5', 'during', 100);
    installation.runFor(1_000);
    installation.start(first);
    // The first daemon is running again but has not caught up when the second one stops.
    installation.runFor(3);
    installation.stop(second);
    installation.runFor(2 * settleMilliseconds);
    proposeRepeatedly(installation, 'd5', 'after', 10);
    installation.runFor(settleMilliseconds);
    t.truthy(installation.actingLeader());
    t.true(installation.history.accepted().size >= 110);
    assertConsistent(t, installation);
  },
);

test.serial(
  'accepted proposals survive restarts of all daemons, first one by one and then together',
  (t) => {
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
  },
);

test.serial(
  'a crash of any voter between any two steps of a commit loses no accepted proposal',
  (t) => {
    // Latencies and syncs take 1 ms, so multiples of 0.5 ms include instants between any two steps.
    for (let halfMilliseconds = 0; halfMilliseconds < 16; halfMilliseconds += 1) {
      const installation = createSettledInstallation({ seed: 3 });
      const voters = installation.voterNames;
      voters.forEach((name, position) => {
        installation.propose('d5', `crash-${position}`);
        installation.runFor(halfMilliseconds / 2);
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
  'a late order from a former leader has no effect at an upstream with or without fencing checks',
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

test.serial('an order whose answer is lost is read back and not executed twice', (t) => {
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

test.serial('a voter with a full disk fails with an error, and the other voters continue', (t) => {
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

test.serial(
  'a voter whose disk has a flipped bit fails, and the others keep all accepted proposals',
  (t) => {
    const installation = createSettledInstallation();
    proposeRepeatedly(installation, 'd5', 'before', 20);
    installation.stop('d1');
    installation.disk('d1').flipBit(200);
    installation.start('d1');
    installation.runFor(settleMilliseconds);
    t.is(installation.worldOf('d1').replica.rows().next().value?.state, 'failed');
    t.deepEqual(installation.history.violations(), []);
    ['d2', 'd3'].forEach((name) => t.deepEqual(installation.missingProposalsAt(name), []));
  },
);

test.serial('an entry of the leader counts towards the quorum only after it is synced', (t) => {
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

test.serial('a single voter without a connection to the leader starts no new term', (t) => {
  const installation = createSettledInstallation();
  const leader = installation.actingLeader()!;
  const { term } = leadershipOf(installation.worldOf(leader));
  installation.cut(leader, otherVoter(installation, leader));
  installation.runFor(60_000);
  t.is(installation.actingLeader(), leader);
  t.is(leadershipOf(installation.worldOf(leader)).term, term);
});

test.serial('losing a second VM right after a disk replacement loses no accepted proposal', (t) => {
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
  t.truthy(installation.actingLeader(), 'the voter with the replaced disk has joined');
});

test.serial('a voter with a new disk catches up from the leader and joins', (t) => {
  const installation = createSettledInstallation();
  const name = otherVoter(installation, installation.actingLeader()!);
  installation.stop(name);
  installation.disk(name).clear();
  installation.start(name);
  installation.runFor(settleMilliseconds);
  t.true(installation.worldOf(name).replica.rows().next().value?.hasJoined);
  assertConsistent(t, installation);
});
