import test from 'ava';
import type { FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { testItem, testJob } from '../../../../../standins/virtual/fleetFixture.js';
import { countItemsWaitingByRegion } from '../../../jobs/common/homeWaits.js';
import { itemIdOf, RunState, type RunFact, type RunRow } from '../../../jobs/common/jobTables.js';
import {
  createHomeCore,
  declareHomes,
  plainUpstream,
  reportUpstreams,
  upstreamsOfCall,
  type DeclaredHomes,
} from './homesFixture.js';

const eastJobs = { routes: { plan: ['east'] } };

const runOf = (core: FleetCore, item: string): RunRow => core.world.runs.get(itemIdOf('j', item))!;
const engineOf = (core: FleetCore, item: string): string => String(runOf(core, item).upstream);

const submitItems = (core: FleetCore, names: readonly string[]): void =>
  core.propose(
    'job',
    testJob(
      'j',
      names.map((name) => testItem(name, `group-${name}`)),
    ),
  );

type FactColumns = RunFact extends infer Fact
  ? Fact extends RunFact
    ? Omit<Fact, 'item' | 'start'>
    : never
  : never;

const reportRun = (core: FleetCore, item: string, fact: FactColumns): void => {
  const { id, start } = runOf(core, item);
  core.world.runFacts.append({ ...fact, item: id, start });
  core.settle();
};

test('items run only in the home regions of their job, and wait for a slot there', (t) => {
  const core = createHomeCore(eastJobs);
  reportUpstreams(core, { e1: { zone: 'z1' }, e2: { zone: 'z2', slots: 8 } });
  submitItems(core, ['a', 'b', 'c']);
  const running = ['a', 'b', 'c'].filter((name) => runOf(core, name).state === RunState.Running);
  t.is(running.length, 2);
  running.forEach((name) => t.is(engineOf(core, name), 'e1'));

  reportRun(core, running[0]!, { kind: 'whole', text: ['x'], versions: [1] });
  const waiting = ['a', 'b', 'c'].find((name) => !running.includes(name))!;
  t.is(engineOf(core, waiting), 'e1');
});

test('an item runs in the home regions that its route and its workspace share', (t) => {
  const core = createHomeCore({ routes: { plan: ['east', 'west'] }, workspace: ['west', 'north'] });
  reportUpstreams(core, {
    e1: { zone: 'z1', slots: 8 },
    e2: { zone: 'z2', slots: 1 },
    e3: { zone: 'z3', slots: 8 },
  });
  submitItems(core, ['a', 'b']);
  t.deepEqual(
    ['a', 'b'].map((name) => runOf(core, name).upstream).filter((engine) => engine !== null),
    ['e2'],
  );
});

test('an item whose route and workspace share no home region waits', (t) => {
  const core = createHomeCore({ ...eastJobs, workspace: ['west'] });
  reportUpstreams(core, { e1: { zone: 'z1' }, e2: { zone: 'z2' } });
  submitItems(core, ['a']);
  t.is(runOf(core, 'a').state, RunState.Waiting);
  t.is(countItemsWaitingByRegion(core.world).get('none'), 1);
});

test('items that wait are counted by home region, and those that run are not', (t) => {
  const core = createHomeCore({ routes: { plan: ['east', 'north'] } });
  reportUpstreams(core, { e1: { zone: 'z1', slots: 1 }, e2: { zone: 'z2', slots: 8 } });
  submitItems(core, ['a', 'b', 'c']);
  const counts = { none: 0, east: 2, west: 0, north: 2 };
  t.deepEqual(Object.fromEntries(countItemsWaitingByRegion(core.world)), counts);
  declareHomes(core, 2, {});
  t.is(countItemsWaitingByRegion(core.world).get('east'), 0);
});

test('a change of home regions applies to an item that waits, without any other change', (t) => {
  const core = createHomeCore(eastJobs);
  reportUpstreams(core, { e2: { zone: 'z2' } });
  submitItems(core, ['a']);
  core.runFor(200);
  t.is(runOf(core, 'a').state, RunState.Waiting);
  declareHomes(core, 2, { routes: { plan: ['west'] } });
  t.is(engineOf(core, 'a'), 'e2');
});

test('a broken run is continued in the home regions', (t) => {
  const core = createHomeCore(eastJobs);
  reportUpstreams(core, { e1: { zone: 'z1', slots: 1 }, e2: { zone: 'z2', slots: 8 } });
  submitItems(core, ['a']);
  t.is(engineOf(core, 'a'), 'e1');
  reportRun(core, 'a', { kind: 'progress', text: ['x'], versions: [1] });
  reportRun(core, 'a', { kind: 'broken', text: [], versions: [1], reason: 'reset' });
  core.runFor(500);
  t.is(engineOf(core, 'a'), 'e1');
  t.is(runOf(core, 'a').start, 2);
});

test('a text begins anew at home if its software version is served only outside', (t) => {
  const core = createHomeCore(eastJobs);
  reportUpstreams(core, { e1: { zone: 'z1', softwareVersion: 'v1' } });
  submitItems(core, ['a']);
  reportRun(core, 'a', { kind: 'progress', text: ['x'], versions: [1] });
  core.world.arrivedDepartures.append({ upstream: 'e1', startedAt: 1 });
  reportUpstreams(core, {
    e2: { zone: 'z2', softwareVersion: 'v1' },
    e3: { zone: 'z1', softwareVersion: 'v2' },
  });
  reportRun(core, 'a', { kind: 'broken', text: [], versions: [1], reason: 'reset' });
  core.runFor(100);
  t.is(engineOf(core, 'a'), 'e3');
});

/** Runs one item on each of three engines, of which the one of `a` is much slower. */
const runWithSlowEngine = (core: FleetCore): string => {
  const items = ['a', 'b', 'c'];
  submitItems(core, items);
  const slowEngine = engineOf(core, 'a');
  for (let round = 0; round < 5; round += 1) {
    core.runFor(200);
    items
      .filter((name) => runOf(core, name).state === RunState.Running)
      .forEach((name) => {
        const text = Array.from({ length: engineOf(core, name) === slowEngine ? 2 : 5 }, () => 'x');
        reportRun(core, name, { kind: 'progress', text, versions: [1] });
      });
  }
  core.runFor(200);
  return slowEngine;
};

test('a run leaves a slow engine only for another one in its home regions', (t) => {
  const core = createHomeCore({ routes: { plan: ['east', 'west'] } });
  reportUpstreams(core, {
    e1: { zone: 'z1', slots: 1 },
    e2: { zone: 'z2', slots: 1 },
    e3: { zone: 'z2', slots: 1 },
    e4: { zone: 'z3', slots: 8 },
  });
  const slowEngine = runWithSlowEngine(core);
  t.is(engineOf(core, 'a'), slowEngine);
  t.is(runOf(core, 'a').start, 1);

  reportUpstreams(core, { e5: { zone: 'z1', slots: 1 } });
  reportRun(core, 'b', { kind: 'progress', text: ['x', 'x', 'x', 'x', 'x'], versions: [1] });
  core.runFor(200);
  t.is(engineOf(core, 'a'), 'e5');
});

const scorer = {
  requestId: 'score-a',
  host: 'yard.example',
  path: '/score/a',
  body: new Uint8Array([1]),
};

/** Completes the text of an item, and returns the upstreams to which its scoring request is sent. */
const scoreItem = (
  homes: DeclaredHomes,
): { readonly core: FleetCore; readonly sentTo: string[] } => {
  const core = createHomeCore(homes);
  reportUpstreams(core, {
    e1: { zone: 'z1' },
    e2: plainUpstream('z2', 100),
    e3: plainUpstream('z3', 20),
    e4: plainUpstream('z1', 4),
  });
  core.propose('job', testJob('j', [{ ...testItem('a'), scorer }]));
  reportRun(core, 'a', { kind: 'whole', text: ['x'], versions: [1] });
  return { core, sentTo: upstreamsOfCall(core, String(runOf(core, 'a').call)) };
};

test('a scoring request is sent in the home regions of the route of the scorer', (t) => {
  t.deepEqual(scoreItem({ routes: { score: ['north'] } }).sentTo, ['e3']);
});

test('a scoring request is bound by the workspace of its job, which is not sent with it', (t) => {
  const { core, sentTo } = scoreItem({ routes: { score: ['north', 'east'] }, workspace: ['east'] });
  t.deepEqual(sentTo, ['e4']);
  t.is(core.world.calls.get(runOf(core, 'a').call!)?.workspace, null);
});

test('if they share no region, the route of the scorer alone binds a scoring request', (t) => {
  t.deepEqual(scoreItem({ routes: { score: ['north'] }, workspace: ['east'] }).sentTo, ['e3']);
});

test('a scoring request whose home regions have no upstream is retried, and the text is kept', (t) => {
  const { core, sentTo } = scoreItem({ routes: { score: ['south'] } });
  t.deepEqual(sentTo, []);
  t.is(runOf(core, 'a').state, RunState.Scoring);
  declareHomes(core, 2, { routes: { score: ['north'] } });
  core.runFor(200);
  t.deepEqual(upstreamsOfCall(core, String(runOf(core, 'a').call)), ['e3']);
});
