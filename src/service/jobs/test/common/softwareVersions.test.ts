import test from 'ava';
import type { FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { testItem, testJob } from '../../../../../standins/virtual/fleetFixture.js';
import { EventKind } from '../../../events/common/eventKind.js';
import { RunState } from '../../common/jobTables.js';
import {
  createCoreWithText,
  createDeclaredCore,
  departEngine,
  engineOf,
  reportBroken,
  reportEngine,
  reportFact,
  reportProgress,
  runOf,
  startsAnew,
} from './versionedFleet.js';

/** A run may wait this long for an engine of its software version while another one is free. */
const versionWaitMilliseconds = 1_500;
const reportIntervalMilliseconds = 200;

/** Lets an engine of software v1 run other items on all of its slots. */
const occupyEngine = (core: FleetCore, engine: string): void => {
  reportEngine(core, engine, 'v1', { slots: 1 });
  core.propose('busy', testJob('busy', [testItem('b')]));
};

test('a broken text goes on only at an engine of the software version that began it', (t) => {
  const core = createCoreWithText();
  reportEngine(core, 'e2', 'v2', { slots: 8 });
  reportEngine(core, 'e3', 'v1');
  reportBroken(core, ['z']);
  core.runFor(200);
  t.like(runOf(core), { state: RunState.Running, upstream: 'e3', events: 3, text: 'x\ny\nz' });
});

test('a broken text begins anew at once if no engine of its software version serves', (t) => {
  const core = createCoreWithText();
  reportEngine(core, 'e2', 'v2');
  departEngine(core, 'e1');
  reportBroken(core, ['z']);
  core.runFor(200);
  t.like(runOf(core), startsAnew(core, 'e2'));
});

test('a text waits a bounded time for a slot at its software version, then begins anew', (t) => {
  const core = createCoreWithText();
  departEngine(core, 'e1');
  occupyEngine(core, 'e3');
  reportEngine(core, 'e2', 'v2');
  reportBroken(core, ['z']);
  core.runFor(500);
  t.like(runOf(core), { state: RunState.Waiting, events: 3 });
  core.runFor(versionWaitMilliseconds);
  t.like(runOf(core), startsAnew(core, 'e2'));
});

test('a text goes on when a slot at its software version becomes free in time', (t) => {
  const core = createCoreWithText();
  departEngine(core, 'e1');
  occupyEngine(core, 'e3');
  reportEngine(core, 'e2', 'v2');
  reportBroken(core, ['z']);
  core.runFor(500);
  core.propose('end', { kind: 'jobEnded', job: 'busy' });
  core.runFor(100);
  t.like(runOf(core), { state: RunState.Running, upstream: 'e3', events: 3 });
});

test('a text whose only engine of its software version refuses it begins anew elsewhere', (t) => {
  const core = createCoreWithText();
  reportEngine(core, 'e2', 'v2');
  reportBroken(core, []);
  for (let round = 0; round < 12; round += 1) {
    core.runFor(reportIntervalMilliseconds);
    reportEngine(core, 'e1', 'v1');
    const isRefused = runOf(core).state === RunState.Running && engineOf(core) === 'e1';
    if (isRefused) reportFact(core, { kind: 'notRun', reason: 'status 503' });
  }
  t.like(runOf(core), startsAnew(core, 'e2'));
});

test('the only engine of a fleet gets its broken text back without a wait', (t) => {
  const core = createCoreWithText();
  reportBroken(core, ['z']);
  core.runFor(100);
  t.like(runOf(core), { state: RunState.Running, upstream: 'e1', events: 3 });
});

test('the text of an unresponsive engine goes on only at its software version', (t) => {
  const core = createCoreWithText();
  reportEngine(core, 'e2', 'v2', { slots: 8 });
  reportEngine(core, 'e3', 'v1');
  core.runFor(1_100);
  t.like(runOf(core), { state: RunState.Running, upstream: 'e3', events: 2 });
});

/** Creates a fleet with one item on each of three engines, of which `e1` is slow. */
const createCoreWithSlowEngine = (fastVersion: string): FleetCore => {
  const core = createDeclaredCore();
  ['e1', 'e2', 'e3'].forEach((engine) =>
    reportEngine(core, engine, engine === 'e1' ? 'v1' : fastVersion),
  );
  const items = ['a', 'b', 'c'];
  core.propose(
    'job',
    testJob(
      'j',
      items.map((item) => testItem(item, `group-${item}`)),
    ),
  );
  for (let round = 0; round < 4; round += 1) {
    core.runFor(reportIntervalMilliseconds);
    items
      .filter((item) => runOf(core, item).state === RunState.Running)
      .forEach((item) =>
        reportProgress(
          core,
          Array.from({ length: engineOf(core, item) === 'e1' ? 2 : 5 }, () => 'x'),
          item,
        ),
      );
  }
  core.runFor(reportIntervalMilliseconds);
  return core;
};

test('a text moves from a slow engine to a faster one of its software version', (t) => {
  const core = createCoreWithSlowEngine('v1');
  const moved = core.world.runs.where('job', 'j').filter(({ start }) => start === 2);
  t.is(moved.length, 1);
  t.true(moved[0]!.events > 0);
});

test('a text stays on a slow engine if the faster ones run other software', (t) => {
  const core = createCoreWithSlowEngine('v2');
  t.deepEqual(
    core.world.runs.where('job', 'j').map(({ start }) => start),
    [1, 1, 1],
  );
});

test('log lines of a run name the software version of each of its engines', (t) => {
  const core = createDeclaredCore();
  reportEngine(core, 'e1', 'v7');
  core.propose('job', testJob('j', [testItem('a')]));
  reportBroken(core, ['x']);
  const versions = core.world.events
    .takeAll()
    .filter(({ kind }) => kind === EventKind.RunStarted || kind === EventKind.RunBroken)
    .map(({ kind, subject }) => [kind, subject.upstream, subject.softwareVersion]);
  t.deepEqual(versions.slice(0, 2), [
    [EventKind.RunStarted, 'e1', 'v7'],
    [EventKind.RunBroken, 'e1', 'v7'],
  ]);
});
