/**
 * The load of many waiting items: what a pass over them looks up does not grow with their number.
 */
import test from 'ava';
import { RunState } from '../../common/jobTables.js';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';

const items = Array.from({ length: 200 }, (_, number) =>
  testItem(`i${number}`, `g${Math.floor(number / 8)}`),
);

const openLoadedCore = () => {
  const core = createFleetCore();
  const { world } = core;
  core.propose('declare', testDeclarationCommand());
  [1, 2, 3, 4].forEach((number) =>
    world.arrivedRegistrations.append({ registration: testEngine(`e${number}`), isDirect: true }),
  );
  world.arrivedRegistrations.append({
    registration: testEngine('e5', { service: 'yard-app', models: [], slots: 6 }),
    isDirect: true,
  });
  core.settle();
  let lookUps = 0;
  const { where } = world.registrations;
  Object.assign(world.registrations, {
    where: (...parameters: Parameters<typeof where>) => {
      if (parameters[1] === 'planner') lookUps += 1;
      return where(...parameters);
    },
  });
  const takeLookUps = (): number => {
    const taken = lookUps;
    lookUps = 0;
    return taken;
  };
  return { core, takeLookUps };
};

test('the engines of a service are looked up once in a pass, however many items wait', (t) => {
  const { core, takeLookUps } = openLoadedCore();
  const { world } = core;
  core.propose('submit', testJob('j1', items));
  t.is(world.runs.count('state', RunState.Running), 8);
  t.is(world.runs.count('state', RunState.Waiting), 192);
  const lookUps = takeLookUps();
  t.true(lookUps < 20, `${lookUps} look-ups`);
});

test('a report of progress costs no look-up while all slots of engines are taken', (t) => {
  const { core, takeLookUps } = openLoadedCore();
  const { world } = core;
  core.propose('submit', testJob('j1', items));
  takeLookUps();
  world.runs.where('state', RunState.Running).forEach(({ id, start }) =>
    world.runFacts.append({
      kind: 'progress',
      item: id,
      start,
      text: ['data: a'],
      versions: [1],
    }),
  );
  core.settle();
  t.is(takeLookUps(), 0);
});

test('a slot that becomes free goes to a waiting item', (t) => {
  const { core, takeLookUps } = openLoadedCore();
  const { world } = core;
  core.propose('submit', testJob('j1', items));
  takeLookUps();
  const [run] = world.runs.where('state', RunState.Running);
  const { id: item, start } = run!;
  world.runFacts.append({ kind: 'whole', item, start, text: ['data: a'], versions: [1] });
  core.settle();
  t.is(world.runs.count('state', RunState.Running), 8);
  t.is(world.runs.count('state', RunState.Waiting), 191);
  t.true(takeLookUps() < 20);
});
