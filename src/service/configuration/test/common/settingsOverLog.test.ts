/**
 * Settings on the replicated log on virtual time: leader changes, network cuts and full restarts.
 */
import test from 'ava';
import fc from 'fast-check';
import {
  propose,
  putEdit,
  withdrawKeyEdit,
} from '../../../../../standins/virtual/settingsEdits.js';
import {
  createTestDeployment,
  createTestTree,
  settleMilliseconds,
} from '../../../../../standins/virtual/testDeployment.js';
import { createVirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import { asBrand } from '../../../../base/common/brand.js';
import { freshnessMilliseconds } from '../../../consensus/common/consensusTiming.js';
import { leadershipOf, canActAsLeader } from '../../../consensus/common/lease.js';
import { hasFreshSettings } from '../../common/keyChecks.js';
import { settingsOf } from '../../common/settingsTables.js';

const weightPath = 'workspaces.one.policy.weight';

const createInstallation = (seed = 1) => {
  const installation = createVirtualInstallation({
    deployment: createTestDeployment(5, 3),
    tree: createTestTree(),
    seed,
  });
  installation.runFor(settleMilliseconds);
  const worldOf = (name: string) => installation.daemon(name).core.world;
  const names = installation.runningNames();
  const leader = () =>
    installation.runningNames().find((name) => canActAsLeader(worldOf(name), installation.now()))!;
  const others = (name: string) => names.filter((each) => each !== name);
  return {
    installation,
    worldOf,
    names,
    leader,
    isolate: (name: string) => others(name).forEach((other) => installation.cut(name, other)),
    rejoin: (name: string) => others(name).forEach((other) => installation.heal(name, other)),
    revisionAt: (name: string) => settingsOf(worldOf(name)).revision,
  };
};

test('an edit resent after a leader change gets its first answer', (t) => {
  const { installation, worldOf, leader, revisionAt } = createInstallation();
  const first = leader();
  propose(installation, 'd5', putEdit('a', 1, weightPath, 2));
  installation.runFor(2_000);
  propose(installation, 'd4', putEdit('b', 2, weightPath, 5));
  installation.runFor(2_000);
  installation.stop(first);
  installation.runFor(settleMilliseconds);
  t.not(leader(), first);
  propose(installation, 'd4', putEdit('a', 1, weightPath, 2));
  installation.runFor(2_000);
  t.is(worldOf('d4').rememberedAnswers.get(asBrand('a'))?.revision, 2);
  t.is(revisionAt('d4'), 3);
  t.is(settingsOf(worldOf('d4')).tree.workspaces.one?.policy.weight, 5);
});

test('every daemon receives an accepted edit, and still has it after all were restarted', (t) => {
  const { installation, names, revisionAt, worldOf } = createInstallation();
  propose(installation, 'd5', withdrawKeyEdit('w', 'one', 'main'));
  installation.runFor(4_000);
  t.deepEqual(
    names.map(revisionAt),
    names.map(() => 2),
  );
  names.forEach(installation.stop);
  names.forEach(installation.start);
  names.forEach((name) => t.false(hasFreshSettings(worldOf(name), installation.now()), name));
  installation.runFor(settleMilliseconds);
  t.deepEqual(
    names.map(revisionAt),
    names.map(() => 2),
  );
  names.forEach((name) => t.true(hasFreshSettings(worldOf(name), installation.now()), name));
});

test('an isolated entry is stale after its freshness bound and fresh after it reconnects', (t) => {
  const { installation, worldOf, isolate, rejoin } = createInstallation();
  isolate('d5');
  installation.runFor(freshnessMilliseconds + 1);
  t.false(hasFreshSettings(worldOf('d5'), installation.now()));
  t.true(hasFreshSettings(worldOf('d4'), installation.now()));
  rejoin('d5');
  installation.runFor(3_000);
  t.true(hasFreshSettings(worldOf('d5'), installation.now()));
});

interface Step {
  readonly daemon: string;
  readonly kind: 'edit' | 'resend' | 'restart' | 'isolate' | 'rejoin';
  readonly wait: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  daemon: fc.constantFrom('d1', 'd2', 'd3', 'd4', 'd5'),
  kind: fc.constantFrom('edit', 'edit', 'resend', 'restart', 'isolate', 'rejoin'),
  wait: fc.integer({ min: 0, max: 3_000 }),
});

/** Runs a schedule and returns the violated invariants, or an empty list. */
const findViolations = (steps: readonly Step[]): readonly string[] => {
  const { installation, worldOf, names, isolate, rejoin, revisionAt } = createInstallation();
  const treesByRevision = new Map<number, string>();
  const revisions = new Map<string, number>();
  const answers = new Map<string, string>();
  const violations: string[] = [];
  let edits = 0;

  const observeAnswers = (name: string): void =>
    [...worldOf(name).rememberedAnswers.rows()].forEach(({ id, revision, rejection }) => {
      const answer = rejection?.kind ?? String(revision);
      if ((answers.get(id) ?? answer) !== answer)
        violations.push(`edit ${id} has two different answers`);
      answers.set(id, answer);
    });

  const observe = (name: string): void => {
    const { revision, tree } = settingsOf(worldOf(name));
    const text = JSON.stringify(tree);
    if ((treesByRevision.get(revision) ?? text) !== text)
      violations.push(`revision ${revision} has two different trees`);
    treesByRevision.set(revision, text);
    const start = `${name}/${installation.daemon(name).incarnation}`;
    if (revision < (revisions.get(start) ?? 0))
      violations.push(`the revision of ${name} decreased to ${revision}`);
    revisions.set(start, revision);
    observeAnswers(name);
  };

  const edit = (name: string, number: number): void => {
    const revision = revisionAt(name);
    propose(installation, name, putEdit(`e${number}`, revision, weightPath, number + 1));
  };

  const handlers: Readonly<Record<Step['kind'], (name: string) => void>> = {
    edit: (name) => {
      edits += 1;
      edit(name, edits);
    },
    resend: (name) => edit(name, Math.max(1, edits)),
    restart: (name) => {
      installation.stop(name);
      installation.start(name);
    },
    isolate,
    rejoin,
  };

  steps.forEach(({ daemon, kind, wait }) => {
    handlers[kind](daemon);
    installation.runFor(wait);
    names.forEach(observe);
  });
  names.forEach(rejoin);
  installation.runFor(2 * settleMilliseconds);
  names.forEach(observe);
  if (new Set(names.map(revisionAt)).size !== 1)
    violations.push('daemons have different revisions at the end');
  if (names.some((name) => leadershipOf(worldOf(name)).leader === null))
    violations.push('a daemon knows no leader at the end');
  return violations;
};

test('random cuts and restarts: revisions never decrease, and each edit has one answer', (t) => {
  const property = fc.property(fc.array(stepArbitrary, { maxLength: 12 }), (steps) => {
    const violations = findViolations(steps);
    if (violations.length > 0) throw new Error(violations.join(', '));
  });
  t.notThrows(() => fc.assert(property, { seed: 20_261_204, numRuns: 40 }));
});
