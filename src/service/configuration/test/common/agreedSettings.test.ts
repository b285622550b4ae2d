/**
 * Agreed settings on virtual time: concurrent edits, resent edits, restarts and monotonic
 * revisions.
 */
import test from 'ava';
import fc from 'fast-check';
import { asBrand } from '../../../../base/common/brand.js';
import { createInstantLog } from '../../../../../standins/virtual/instantLog.js';
import {
  propose,
  putEdit,
  withdrawKeyEdit,
} from '../../../../../standins/virtual/settingsEdits.js';
import {
  createTestDeployment,
  createTestTree,
  digestOf,
} from '../../../../../standins/virtual/testDeployment.js';
import { createVirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import type { EditCommand } from '../../common/configurationCommands.js';
import { maximumHistoryRows, settingsOf } from '../../common/settingsTables.js';

const weightPath = 'workspaces.one.policy.weight';

const createInstallation = () => {
  const log = createInstantLog();
  const installation = createVirtualInstallation({
    deployment: createTestDeployment(3, 3),
    tree: createTestTree(),
    seed: 1,
    ports: [log.createPort],
    hasFakeLog: true,
  });
  installation.runFor(100);
  const worldOf = (name: string) => installation.daemon(name).core.world;
  const answerOf = (request: string, at = 'd2') =>
    worldOf(at).rememberedAnswers.get(asBrand(request));
  return { log, installation, worldOf, answerOf };
};

const describeAnswer = (
  answer: ReturnType<ReturnType<typeof createInstallation>['answerOf']>,
): string => answer?.rejection?.kind ?? String(answer?.revision);

test('the seed tree of the leader becomes revision 1 on every daemon', (t) => {
  const { worldOf } = createInstallation();
  ['d1', 'd2', 'd3'].forEach((name) => {
    const { revision, isAgreed } = settingsOf(worldOf(name));
    t.deepEqual({ revision, isAgreed }, { revision: 1, isAgreed: true });
  });
});

test('of two edits of the same revision, the second is rejected as a mismatch', (t) => {
  const { installation, answerOf, worldOf } = createInstallation();
  propose(installation, 'd1', putEdit('a', 1, weightPath, 2));
  propose(installation, 'd2', putEdit('b', 1, weightPath, 3));
  installation.runFor(100);
  t.is(describeAnswer(answerOf('a')), '2');
  t.is(describeAnswer(answerOf('b')), 'revisionMismatch');
  t.is(worldOf('d3').workspaces.get(asBrand('one'))?.settings.policy.weight, 2);
});

test('an edit resent to another daemon gets its first answer and is not applied twice', (t) => {
  const { installation, answerOf, worldOf } = createInstallation();
  propose(installation, 'd1', putEdit('a', 1, weightPath, 2));
  installation.runFor(100);
  propose(installation, 'd2', putEdit('b', 2, weightPath, 5));
  installation.runFor(100);
  propose(installation, 'd3', putEdit('a', 1, weightPath, 2));
  installation.runFor(100);
  t.is(describeAnswer(answerOf('a')), '2');
  t.is(settingsOf(worldOf('d3')).revision, 3);
  t.is(settingsOf(worldOf('d3')).tree.workspaces.one?.policy.weight, 5);
});

test('an edit that reuses the request identifier of another edit is rejected', (t) => {
  const { installation, worldOf } = createInstallation();
  propose(installation, 'd1', putEdit('a', 1, weightPath, 2));
  installation.runFor(100);
  propose(installation, 'd1', putEdit('a', 2, weightPath, 7));
  installation.runFor(100);
  const rejections = [...worldOf('d1').proposalOutcomes.rows()].map(({ outcome }) =>
    outcome.kind === 'rejected' ? outcome.rejection.kind : outcome.kind,
  );
  t.is(rejections.at(-1), 'requestReused');
  t.is(settingsOf(worldOf('d1')).revision, 2);
});

const rejectedEdits: Readonly<Record<string, EditCommand>> = {
  invalidTree: putEdit('x', 1, 'workspaces.one.services', ['absent']),
  unknownPath: {
    ...putEdit('x', 1, 'workspaces.three', 1),
    change: { kind: 'remove' },
  } as EditCommand,
  unknownWorkspace: withdrawKeyEdit('x', 'three', 'main'),
  unknownKeyName: withdrawKeyEdit('x', 'one', 'spare'),
};

Object.entries(rejectedEdits).forEach(([kind, edit]) =>
  test(`an edit rejected as ${kind} leaves the settings unchanged`, (t) => {
    const { installation, answerOf, worldOf } = createInstallation();
    propose(installation, 'd1', edit);
    installation.runFor(100);
    t.is(describeAnswer(answerOf('x')), kind);
    t.is(settingsOf(worldOf('d2')).revision, 1);
  }),
);

test('the rejection of an edit lists every fault', (t) => {
  const { installation, answerOf } = createInstallation();
  const services = { one: { kind: 'plain' }, two: { kind: 'engine' } };
  propose(installation, 'd1', putEdit('x', 1, 'services', services));
  installation.runFor(100);
  const paths = answerOf('x')?.rejection?.faults.map(({ path }) => path) ?? [];
  ['services.one.path', 'services.two.models', 'workspaces.one.services[0]'].forEach((path) =>
    t.true(paths.includes(path), path),
  );
});

test('an edit replaces only the rows whose values change', (t) => {
  const { installation, worldOf } = createInstallation();
  const workspaceRow = (name: string) => worldOf('d2').workspaces.get(asBrand(name));
  const keyRow = () => worldOf('d2').keys.get(digestOf('key-one'));
  const before = { two: workspaceRow('two'), key: keyRow() };
  propose(installation, 'd1', putEdit('a', 1, weightPath, 2));
  installation.runFor(100);
  t.is(workspaceRow('two'), before.two);
  t.is(keyRow(), before.key);
  t.is(workspaceRow('one')?.settings.policy.weight, 2);
});

test('a daemon restarted after hundreds of edits has the same bounded rows as the others', (t) => {
  const { installation, worldOf } = createInstallation();
  const edits = maximumHistoryRows + 88;
  for (let number = 1; number <= edits; number += 1) {
    propose(installation, 'd1', putEdit(`e${number}`, number, weightPath, number));
    installation.runFor(1);
  }
  installation.stop('d3');
  installation.start('d3');
  installation.runFor(100);
  const rowsOf = (name: string) => ({
    settings: settingsOf(worldOf(name)),
    history: [...worldOf(name).settingsHistory.rows()],
    answers: [...worldOf(name).rememberedAnswers.rows()],
  });
  t.deepEqual(rowsOf('d3'), rowsOf('d1'));
  t.is(rowsOf('d1').settings.revision, edits + 1);
  t.is(rowsOf('d1').history.length, maximumHistoryRows);
});

test('a rotated key is withdrawn when the overlap expires, and its successor stays valid', (t) => {
  const { installation, worldOf } = createInstallation();
  propose(installation, 'd1', {
    kind: 'keyRotate',
    request: 'r',
    operator: 'tester',
    content: 'r',
    workspace: 'one',
    name: 'main',
    successor: 'next',
    digest: digestOf('key-next'),
    overlapMilliseconds: 1_000,
  });
  const isWithdrawn = (key: string) => worldOf('d3').keys.get(digestOf(key))?.withdrawn;
  installation.runFor(900);
  t.deepEqual([isWithdrawn('key-one'), isWithdrawn('key-next')], [false, false]);
  installation.runFor(300);
  t.deepEqual([isWithdrawn('key-one'), isWithdrawn('key-next')], [true, false]);
  t.is(worldOf('d3').keyRotations.size(), 0);
});

interface Step {
  readonly daemon: string;
  readonly request: number;
  readonly revisionOffset: number;
  readonly weight: number;
  readonly fault: 'none' | 'restart' | 'isolate' | 'rejoin' | 'lead';
  readonly wait: number;
}

const daemonNames = ['d1', 'd2', 'd3'];

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  daemon: fc.constantFrom(...daemonNames),
  request: fc.nat({ max: 12 }),
  revisionOffset: fc.integer({ min: -1, max: 1 }),
  weight: fc.integer({ min: 1, max: 9 }),
  fault: fc.constantFrom('none', 'none', 'restart', 'isolate', 'rejoin', 'lead'),
  wait: fc.integer({ min: 0, max: 20 }),
});

test('random schedules: revisions never decrease, and each has the same tree everywhere', (t) => {
  const property = fc.property(fc.array(stepArbitrary, { maxLength: 25 }), (steps) => {
    const { installation, log, worldOf } = createInstallation();
    const treesByRevision = new Map<number, string>();
    const served = new Map<string, number>();
    const observe = (): void =>
      daemonNames.forEach((name) => {
        const { revision, tree } = settingsOf(worldOf(name));
        const text = JSON.stringify(tree);
        if ((treesByRevision.get(revision) ?? text) !== text)
          throw new Error('a revision has two trees');
        treesByRevision.set(revision, text);
        const start = `${name}/${installation.daemon(name).incarnation}`;
        if (revision < (served.get(start) ?? 0)) throw new Error('a revision decreased');
        served.set(start, revision);
      });
    const faults: Readonly<Record<Step['fault'], (name: string) => void>> = {
      none: () => {},
      restart: (name) => {
        installation.stop(name);
        installation.start(name);
      },
      isolate: log.isolate,
      rejoin: log.rejoin,
      lead: log.setLeader,
    };
    steps.forEach((step) => {
      faults[step.fault](step.daemon);
      const { revision } = settingsOf(worldOf(step.daemon));
      const expected = Math.max(1, revision + step.revisionOffset);
      const edit = putEdit(`q${step.request}`, expected, weightPath, step.weight);
      propose(installation, step.daemon, edit);
      installation.runFor(step.wait);
      observe();
    });
    daemonNames.forEach(log.rejoin);
    installation.runFor(1_000);
    observe();
    const accepted = worldOf('d1').settingsHistory.size();
    return daemonNames.every((name) => settingsOf(worldOf(name)).revision === accepted + 1);
  });
  t.notThrows(() => fc.assert(property, { seed: 20_261_204, numRuns: 100 }));
});
