/** Settings over the replicated log on virtual time: change of leader, cuts, and restart of everything. */
import test from 'ava';
import fc from 'fast-check';
import { propose, putEdit, withdrawEdit } from '../../../../../standins/virtual/settingsEdits.js';
import {
  createTestDeployment,
  createTestTree,
  settleMilliseconds,
} from '../../../../../standins/virtual/testDeployment.js';
import { createVirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import { asBrand } from '../../../../base/common/brand.js';
import { freshnessMilliseconds } from '../../../consensus/common/consensusTiming.js';
import { leadershipOf, canActAsLeader } from '../../../consensus/common/lease.js';
import { isFresh } from '../../common/keyChecks.js';
import { settingsOf } from '../../common/settingsTables.js';

const weightOf = 'workspaces.one.policy.weight';

const create = (seed = 1) => {
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

test('a resent edit gets its first answer after a change of leader', (t) => {
  const { installation, worldOf, leader, revisionAt } = create();
  const first = leader();
  propose(installation, 'd5', putEdit('a', 1, weightOf, 2));
  installation.runFor(2_000);
  propose(installation, 'd4', putEdit('b', 2, weightOf, 5));
  installation.runFor(2_000);
  installation.stop(first);
  installation.runFor(settleMilliseconds);
  t.not(leader(), first);
  propose(installation, 'd4', putEdit('a', 1, weightOf, 2));
  installation.runFor(2_000);
  t.is(worldOf('d4').rememberedAnswers.get(asBrand('a'))?.revision, 2);
  t.is(revisionAt('d4'), 3);
  t.is(settingsOf(worldOf('d4')).tree.workspaces.one?.policy.weight, 5);
});

test('every daemon comes to an accepted edit, and all of them again after all were restarted', (t) => {
  const { installation, names, revisionAt, worldOf } = create();
  propose(installation, 'd5', withdrawEdit('w', 'one', 'main'));
  installation.runFor(4_000);
  t.deepEqual(
    names.map(revisionAt),
    names.map(() => 2),
  );
  names.forEach(installation.stop);
  names.forEach(installation.start);
  names.forEach((name) => t.false(isFresh(worldOf(name), installation.now()), name));
  installation.runFor(settleMilliseconds);
  t.deepEqual(
    names.map(revisionAt),
    names.map(() => 2),
  );
  names.forEach((name) => t.true(isFresh(worldOf(name), installation.now()), name));
});

test('an isolated entry is not fresh after its freshness bound, and is again once it is back', (t) => {
  const { installation, worldOf, isolate, rejoin } = create();
  isolate('d5');
  installation.runFor(freshnessMilliseconds + 1);
  t.false(isFresh(worldOf('d5'), installation.now()));
  t.true(isFresh(worldOf('d4'), installation.now()));
  rejoin('d5');
  installation.runFor(3_000);
  t.true(isFresh(worldOf('d5'), installation.now()));
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

/** Runs a schedule and returns what broke, or an empty list. */
const findBroken = (steps: readonly Step[]): readonly string[] => {
  const { installation, worldOf, names, isolate, rejoin, revisionAt } = create();
  const treesByRevision = new Map<number, string>();
  const revisions = new Map<string, number>();
  const answers = new Map<string, string>();
  const broken: string[] = [];
  let edits = 0;

  const observeAnswers = (name: string): void =>
    [...worldOf(name).rememberedAnswers.rows()].forEach(({ id, revision, rejection }) => {
      const answer = rejection?.kind ?? String(revision);
      if ((answers.get(id) ?? answer) !== answer) broken.push(`two answers to ${id}`);
      answers.set(id, answer);
    });

  const observe = (name: string): void => {
    const { revision, tree } = settingsOf(worldOf(name));
    const text = JSON.stringify(tree);
    if ((treesByRevision.get(revision) ?? text) !== text) broken.push(`two trees of ${revision}`);
    treesByRevision.set(revision, text);
    const start = `${name}/${installation.daemon(name).incarnation}`;
    if (revision < (revisions.get(start) ?? 0)) broken.push(`${name} fell back to ${revision}`);
    revisions.set(start, revision);
    observeAnswers(name);
  };

  const edit = (name: string, number: number): void => {
    const revision = revisionAt(name);
    propose(installation, name, putEdit(`e${number}`, revision, weightOf, number + 1));
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
  if (new Set(names.map(revisionAt)).size !== 1) broken.push('daemons differ in the end');
  if (names.some((name) => leadershipOf(worldOf(name)).leader === null)) broken.push('no leader');
  return broken;
};

test('over random cuts and restarts revisions never fall and edits have one answer', (t) => {
  const property = fc.property(fc.array(stepArbitrary, { maxLength: 12 }), (steps) => {
    const broken = findBroken(steps);
    if (broken.length > 0) throw new Error(broken.join(', '));
  });
  t.notThrows(() => fc.assert(property, { seed: 20_261_204, numRuns: 40 }));
});
