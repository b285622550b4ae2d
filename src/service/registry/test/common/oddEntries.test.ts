/**
 * Entries of another writer among those of sound upstreams: one that names no upstream to use must
 * leave the others as they are.
 */
import test from 'ava';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
} from '../../../../../standins/virtual/fleetFixture.js';
import type { Registration } from '../../common/registryTables.js';

const sound = testEngine('e1', { startedAt: 100 });

const createCoreWithEngine = (): FleetCore => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  core.world.arrivedRegistrations.append({ registration: sound, isDirect: true });
  core.settle();
  return core;
};

const apply = (core: FleetCore, registration: Registration): void => {
  core.world.arrivedRegistrations.append({ registration, isDirect: true });
  core.settle();
};

const servicesById = ({ world }: FleetCore): Record<string, string> =>
  Object.fromEntries([...world.registrations.rows()].map(({ id, service }) => [id, service]));

test('an entry of an undeclared service does not push out the upstream at its address', (t) => {
  const core = createCoreWithEngine();
  apply(core, { ...sound, upstream: 'e7', service: 'none', startedAt: 200 });
  t.like(servicesById(core), { e1: 'planner' });
  t.is(core.world.registrations.where('service', 'planner').length, 1);
});

test('an entry of an undeclared service does not replace the upstream of its id', (t) => {
  [
    { service: 'none', sequence: 50 },
    { service: 'none', startedAt: 200 },
  ].forEach((columns) => {
    const core = createCoreWithEngine();
    apply(core, { ...sound, ...columns });
    t.deepEqual(servicesById(core), { e1: 'planner' });
    apply(core, { ...sound, sequence: 2, slots: 5 });
    t.is([...core.world.registrations.rows()][0]!.slots, 5, 'later true reports count');
  });
});

test('an entry of an undeclared service that comes first does not keep out the upstream', (t) => {
  [
    { upstream: 'e7', service: 'none', startedAt: 200 },
    { service: 'none', startedAt: 200 },
    { service: 'none', sequence: 50 },
  ].forEach((columns) => {
    const core = createFleetCore();
    core.propose('declare', testDeclarationCommand());
    apply(core, { ...sound, ...columns });
    apply(core, sound);
    t.like(servicesById(core), { e1: 'planner' });
  });
});

test('a later start of a declared service at an address replaces the earlier one', (t) => {
  const core = createCoreWithEngine();
  apply(core, { ...sound, upstream: 'e7', service: 'yard-app', startedAt: 200 });
  t.deepEqual(servicesById(core), { e7: 'yard-app' });
});

test('an upstream whose service is declared later is known by then', (t) => {
  const core = createFleetCore();
  apply(core, sound);
  core.propose('declare', testDeclarationCommand());
  t.is(core.world.registrations.where('service', 'planner').length, 1);
});
