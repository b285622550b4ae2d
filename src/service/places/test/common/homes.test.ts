import test from 'ava';
import { activateDeclaration } from '../../../declaration/common/applyDeclaration.js';
import { declarationId } from '../../../declaration/common/declarationTables.js';
import { findRoute } from '../../../declaration/common/findRoute.js';
import { isPlaceAllowed } from '../../common/eligibility.js';
import { computeHomes, hasHomeRegions, homesOfRoute, isInHomes } from '../../common/homes.js';
import { createHomeCore } from './homesFixture.js';

test('home regions of route and workspace are intersected, and empty lists mean no limit', (t) => {
  t.is(computeHomes([], []), null);
  t.deepEqual(computeHomes(['east'], []), ['east']);
  t.deepEqual(computeHomes([], ['west']), ['west']);
  t.deepEqual(computeHomes(['east', 'west'], ['west', 'north']), ['west']);
  t.deepEqual(computeHomes(['east'], ['west']), [], 'nowhere, not anywhere');
});

test('an upstream in a zone that the settings do not name is in no home region', (t) => {
  const { world } = createHomeCore({});
  t.false(isInHomes(['east'], undefined));
  t.false(isPlaceAllowed(world, { zone: 'z9' }, ['east']));
  t.true(isPlaceAllowed(world, { zone: 'z9' }, null));
  t.false(isPlaceAllowed(world, { zone: 'z1' }, []));
});

test('home regions follow from the declaration when a daemon restores it', (t) => {
  const { world } = createHomeCore({ routes: { book: ['east', 'west'] }, workspace: ['west'] });
  const restored = createHomeCore({}).world;
  t.false(hasHomeRegions(restored));
  restored.declarations.put(world.declarations.get(declarationId)!);
  activateDeclaration(restored);
  const route = findRoute(restored, 'yard.example', '/book/x');
  t.deepEqual(homesOfRoute(restored, route, 'yard'), ['west']);
  t.true(hasHomeRegions(restored));
});
