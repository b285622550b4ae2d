import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import type { UpstreamId } from '../../../world/common/identifiers.js';
import { itemIdOf, RunState, type RunRow } from '../../common/jobTables.js';

const reportIntervalMilliseconds = 200;
const fastEngineEvents = 5;
const slowEngineEvents = 2;

const items = ['a', 'b', 'c'];

const runOf = (core: FleetCore, item: string): RunRow => core.world.runs.get(itemIdOf('j', item))!;

const engineOf = (core: FleetCore, item: string): string => String(runOf(core, item).upstream);

/** Creates a fleet with one item running on each of three engines. */
const createCore = (): FleetCore => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  ['e1', 'e2', 'e3'].forEach((engine) =>
    core.world.arrivedRegistrations.append({ registration: testEngine(engine), isDirect: false }),
  );
  core.settle();
  core.propose(
    'job',
    testJob(
      'j',
      items.map((item) => testItem(item, `group-${item}`)),
    ),
  );
  return core;
};

/** Reports events of all running items, fewer for those on the slow engine. */
const reportProgress = (core: FleetCore, slowEngine: string): void => {
  core.runFor(reportIntervalMilliseconds);
  items
    .map((item) => runOf(core, item))
    .filter(({ state }) => state === RunState.Running)
    .forEach(({ id, start, upstream }) => {
      const count = upstream === slowEngine ? slowEngineEvents : fastEngineEvents;
      core.world.runFacts.append({
        kind: 'progress',
        item: id,
        start,
        text: Array.from({ length: count }, () => 'x'),
        versions: [1],
      });
    });
  core.settle();
};

test('a run on an engine that is much slower than the others moves to another one', (t) => {
  const core = createCore();
  const slowEngine = engineOf(core, 'a');
  for (let round = 0; round < 4; round += 1) reportProgress(core, slowEngine);
  const { events } = runOf(core, 'a');
  core.runFor(reportIntervalMilliseconds);

  t.not(engineOf(core, 'a'), slowEngine);
  t.is(runOf(core, 'a').state, RunState.Running);
  t.true(events > 0);
  t.is(runOf(core, 'a').events, events, 'the run keeps the text received so far');
  t.is(runOf(core, 'a').start, 2);
});

test('engines of similar speed keep their runs', (t) => {
  const core = createCore();
  for (let round = 0; round < 10; round += 1) reportProgress(core, 'none');
  items.forEach((item) => t.is(runOf(core, item).start, 1));
});

test('a run stays on a slow engine while no other has a free slot', (t) => {
  const core = createCore();
  const slowEngine = engineOf(core, 'a');
  ['e1', 'e2', 'e3']
    .filter((engine) => engine !== slowEngine)
    .forEach((engine) =>
      core.world.registrations.change(asBrand<UpstreamId>(engine), { slots: 1 }),
    );
  for (let round = 0; round < 6; round += 1) reportProgress(core, slowEngine);
  t.is(engineOf(core, 'a'), slowEngine);
  t.is(runOf(core, 'a').start, 1);
});
