/**
 * A burst of crashes: engines crash in series while they run the same item, and workers while they
 * run its scoring request. Items are handed in for later, so they are owed: once it is calm, the
 * item is placed and scored again.
 */
import test from 'ava';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import { SendState } from '../../../forwarding/common/forwardingTables.js';
import { itemIdOf, RunState } from '../../common/jobTables.js';

const crashes = 30;
const crashIntervalMilliseconds = 100;
const calmMilliseconds = 2_000;
/** Registrations expire after 5 s, and a run on an engine that is gone after 1.5 s more. */
const goneMilliseconds = 9_000;
const engines = ['e1', 'e2', 'e3'];
const scorers = ['e4', 'e5'];
const item = itemIdOf('j', 'a');
const scorer = {
  requestId: 's1',
  host: 'yard.example',
  path: '/score/1',
  body: new Uint8Array([1]),
};

const createCore = (): FleetCore => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  return core;
};

/** Registers a new start of each upstream, as after a crash. */
const register = (core: FleetCore, upstreams: readonly string[], service: string): void => {
  upstreams.forEach((upstream) =>
    core.world.arrivedRegistrations.append({
      registration: testEngine(upstream, { service, startedAt: core.now() }),
      isDirect: true,
    }),
  );
  core.settle();
};

const submit = (core: FleetCore): void => {
  const items = [{ ...testItem('a'), scorer }];
  core.propose('job', testJob('j', items, { submittedAt: core.now() }));
  core.settle();
};

const runOf = (core: FleetCore) => core.world.runs.get(item)!;

const crashRun = (core: FleetCore): void => {
  const { start } = runOf(core);
  const fact = { kind: 'broken', item, start, text: [], versions: [], reason: 'reset' } as const;
  core.world.runFacts.append(fact);
  core.settle();
};

test('an item under which all engines crashed in series is placed again', (t) => {
  const core = createCore();
  register(core, engines, 'planner');
  submit(core);
  const upstreams = new Set<string>();
  for (let crash = 0; crash < crashes; crash += 1) {
    if (runOf(core).state === RunState.Running) {
      upstreams.add(runOf(core).upstream!);
      crashRun(core);
    }
    register(core, engines, 'planner');
    core.runFor(crashIntervalMilliseconds);
  }
  t.true(upstreams.size > 1, `it was at ${upstreams.size} engines`);
  crashRun(core);
  core.runFor(calmMilliseconds);
  t.is(runOf(core).state, RunState.Running);
  t.is(core.world.jobItems.get(item)?.isListed, false);
});

test('an item whose engines were all gone for a while is placed once one is back', (t) => {
  const core = createCore();
  register(core, engines, 'planner');
  submit(core);
  crashRun(core);
  core.runFor(goneMilliseconds);
  t.is(core.world.registrations.size(), 0);
  t.is(runOf(core).state, RunState.Waiting);
  register(core, ['e1'], 'planner');
  core.runFor(calmMilliseconds);
  t.is(runOf(core).state, RunState.Running);
});

test('a scoring request under which all workers crashed in series is sent again', (t) => {
  const core = createCore();
  register(core, engines, 'planner');
  register(core, scorers, 'yard-app');
  submit(core);
  const { start } = runOf(core);
  core.world.runFacts.append({ kind: 'whole', item, start, text: ['x'], versions: [1] });
  core.settle();
  t.is(runOf(core).state, RunState.Scoring);

  const runningSends = () =>
    [...core.world.sends.rows()].filter(({ state }) => state === SendState.Running);
  const upstreams = new Set<string>();
  for (let crash = 0; crash < crashes; crash += 1) {
    runningSends().forEach(({ id, upstream }) => {
      upstreams.add(upstream);
      core.world.sendFacts.append({ kind: 'broken', send: id, reason: 'reset' });
    });
    core.settle();
    register(core, scorers, 'yard-app');
    core.runFor(crashIntervalMilliseconds);
  }
  t.is(upstreams.size, scorers.length);
  core.runFor(calmMilliseconds);
  t.is(runningSends().length, 1);
  t.is(runOf(core).scoreFailures, 0, 'a crash is no failure that a worker answered');
  t.is(core.world.jobItems.get(item)?.isListed, false);
});
