import test from 'ava';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import { itemIdOf, RunState, type RunRow } from '../../common/jobTables.js';

/** Several times the pause between events that the specification allows for a stream. */
const unresponsiveMilliseconds = 1_000;
const loadMilliseconds = 900;

const runOf = (core: FleetCore): RunRow => core.world.runs.get(itemIdOf('j', 'a'))!;

const reportEngine = (core: FleetCore, engine: string): void => {
  core.world.arrivedRegistrations.append({
    registration: testEngine(engine, { sequence: core.now() }),
    isDirect: false,
  });
  core.settle();
};

/** Creates a fleet with one run that has reported one event. */
const createCore = (engines: readonly string[]): FleetCore => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  engines.forEach((engine) => reportEngine(core, engine));
  core.propose('job', testJob('j', [testItem('a')]));
  const { id, start } = runOf(core);
  core.world.runFacts.append({ kind: 'progress', item: id, start, text: ['x'], versions: [1] });
  core.settle();
  return core;
};

test('a text continues on another engine once its own exceeds the progress timeout', (t) => {
  const core = createCore(['e1', 'e2']);
  const originalRun = runOf(core);
  core.runFor(unresponsiveMilliseconds);
  t.not(runOf(core).upstream, originalRun.upstream);
  t.like(runOf(core), { events: 1, text: 'x', start: originalRun.start + 1 });
});

test('a run waits for an engine that loads weights until the load timeout', (t) => {
  const core = createCore(['e1']);
  const { start } = runOf(core);
  core.propose('version', { kind: 'versionNamed', model: 'm0', version: 2 });
  const [order] = [...core.world.weightOrders.rows()];
  core.world.weightOrderFacts.append({
    upstream: order!.id,
    order: order!.order,
    kind: 'accepted',
  });
  core.runFor(unresponsiveMilliseconds + loadMilliseconds);
  t.like(runOf(core), { start, state: RunState.Running });
  core.runFor(2_000);
  t.is(runOf(core).state, RunState.Waiting);
});

test('an engine with overdue reports gets new items only if no other has a free slot', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  ['e1', 'e2'].forEach((engine) => reportEngine(core, engine));
  core.runFor(2_500);
  reportEngine(core, 'e2');
  core.propose(
    'job',
    testJob(
      'j',
      ['a', 'b', 'c'].map((item) => testItem(item, item)),
    ),
  );
  const engines = core.world.runs.where('job', 'j').map(({ upstream }) => String(upstream));
  t.deepEqual(engines.sort(), ['e1', 'e2', 'e2']);
});
