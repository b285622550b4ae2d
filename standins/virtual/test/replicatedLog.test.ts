/**
 * The replicated log on virtual time: election, commits, learners and durability across restarts.
 */
import test from 'ava';
import { asBrand } from '../../../src/base/common/brand.js';
import type { ProposalId } from '../../../src/service/consensus/common/consensusTables.js';
import { leadershipOf, canActAsLeader } from '../../../src/service/consensus/common/lease.js';
import { createTestDeployment, createTestTree } from '../testDeployment.js';
import { createVirtualInstallation } from '../virtualInstallation.js';

const createInstallation = (daemons = 7, voters = 3) =>
  createVirtualInstallation({
    deployment: createTestDeployment(daemons, voters),
    tree: createTestTree(),
    seed: 1,
  });

type Installation = ReturnType<typeof createInstallation>;

const worldOf = (installation: Installation, name: string) => installation.daemon(name).core.world;

const findActingLeaders = (installation: Installation): string[] =>
  installation
    .runningNames()
    .filter((name) => canActAsLeader(worldOf(installation, name), installation.now()));

const propose = (installation: Installation, name: string, id: string): ProposalId => {
  const proposal = asBrand<ProposalId>(id);
  worldOf(installation, name).proposals.append({
    id: proposal,
    command: { kind: 'leadershipTaken', leader: 'nobody' },
    proposalDeadline: installation.now() + 10_000,
  });
  installation.wake(name);
  return proposal;
};

const outcomeAt = (installation: Installation, name: string, proposal: ProposalId) =>
  worldOf(installation, name).proposalOutcomes.get(proposal)?.outcome;

const settleMilliseconds = 10_000;

test('one voter is elected and can act as leader after earlier leases have expired', (t) => {
  const installation = createInstallation();
  installation.runFor(settleMilliseconds);
  t.is(findActingLeaders(installation).length, 1);
});

test('a single voter becomes leader without other votes', (t) => {
  const installation = createInstallation(2, 1);
  installation.runFor(settleMilliseconds);
  t.deepEqual(findActingLeaders(installation), ['d1']);
});

test('a proposal of a learner is applied on all daemons, and their configuration is fresh', (t) => {
  const installation = createInstallation();
  installation.runFor(settleMilliseconds);
  const proposal = propose(installation, 'd7', 'p1');
  installation.runFor(1_000);
  const names = [...installation.runningNames()];
  const kinds = names.map((name) => outcomeAt(installation, name, proposal)?.kind);
  t.deepEqual(
    kinds,
    names.map(() => 'applied'),
  );
  const isFresh = (name: string): boolean =>
    leadershipOf(worldOf(installation, name)).freshnessDeadline > installation.now();
  t.deepEqual(names.filter(isFresh), names);
});

test('a proposal repeated with the same identifier gets its first outcome', (t) => {
  const installation = createInstallation();
  installation.runFor(settleMilliseconds);
  const proposal = propose(installation, 'd6', 'p1');
  installation.runFor(1_000);
  const first = outcomeAt(installation, 'd6', proposal);
  propose(installation, 'd7', 'p1');
  installation.runFor(40_000);
  propose(installation, 'd6', 'p1');
  installation.runFor(1_000);
  t.is(first?.kind, 'applied');
  t.deepEqual(outcomeAt(installation, 'd6', proposal), first);
});

test('without a quorum no daemon can act as leader, and freshness expires', (t) => {
  const installation = createInstallation();
  installation.runFor(settleMilliseconds);
  installation.stop('d1');
  installation.stop('d2');
  installation.runFor(settleMilliseconds);
  t.true(leadershipOf(worldOf(installation, 'd7')).freshnessDeadline < installation.now());
  t.deepEqual(findActingLeaders(installation), []);
});

test('every accepted entry is kept after all voters stop and restart together', (t) => {
  const installation = createInstallation();
  installation.runFor(settleMilliseconds);
  const proposals = Array.from({ length: 300 }, (_, index) =>
    propose(installation, 'd7', `p${index}`),
  );
  installation.runFor(2_000);
  const voters = ['d1', 'd2', 'd3'];
  voters.forEach((name) => installation.stop(name));
  voters.forEach((name) => installation.start(name));
  installation.runFor(settleMilliseconds);
  const recordedOutcomes = worldOf(installation, 'd1').rememberedOutcomes;
  t.deepEqual(
    proposals.filter((proposal) => !recordedOutcomes.has(proposal)),
    [],
  );
});
