/**
 * Single cases of evacuations: how soon they are acknowledged, what a loss of power leaves of them,
 * what a daemon does that is cut off, and a late proposal. The schedules beside combine them.
 */
import test from 'ava';
import { defaultPlaceSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import { worldOf } from '../../../../../standins/virtual/inspection.js';
import { freshnessMilliseconds } from '../../../consensus/common/consensusTiming.js';
import { replicaOf } from '../../../consensus/common/replicaLog.js';
import type { ProposalId } from '../../../consensus/common/consensusTables.js';
import { canSendNewRequests, isPlaceAllowed, isZoneEvacuated } from '../../common/eligibility.js';
import { createZoneEvacuated, createZoneRestored } from '../../common/evacuationRequests.js';
import { all, entries, openEvacuationFixture, stores } from './evacuationFixture.js';

const [entry] = entries as [string];
/** Preferred time to the acknowledgement of an evacuation in a stable core. */
const preferredMilliseconds = 1_000;
/** `recoveryS` of the users' installations. */
const recoveryMilliseconds = 12_000;

stores.forEach((store) =>
  test(`a request at ${store} is acknowledged within a second and is in force everywhere`, (t) => {
    const { installation, request, runFor, isIdle, lackingZones } = openEvacuationFixture(1);
    request('z1', true, store);
    runFor(preferredMilliseconds);
    t.true(isIdle());
    t.deepEqual(lackingZones(), []);
    t.true(all.every((name) => isZoneEvacuated(worldOf(installation, name), 'z1')));
  }),
);

test('an acknowledged evacuation is read back from the disks after a loss of power', (t) => {
  const fixture = openEvacuationFixture(2);
  const { installation } = fixture;
  fixture.whenAcknowledged(() =>
    installation.schedule(0, () => all.forEach((name) => installation.stop(name))),
  );
  fixture.request('z1', true);
  fixture.runFor(preferredMilliseconds);
  t.deepEqual(installation.runningNames(), []);
  all.forEach((name) => installation.start(name));
  fixture.runFor(recoveryMilliseconds);
  t.true(fixture.isIdle());
  t.deepEqual(fixture.lackingZones(), []);
  t.deepEqual(fixture.violations(), []);
});

test('a daemon that is cut off sends nothing until it knows again which zones are evacuated', (t) => {
  const { installation, request, runFor, isolate, heal } = openEvacuationFixture(3);
  const world = worldOf(installation, entry);
  t.true(canSendNewRequests(world, installation.now()));
  isolate(entry);
  request('z1', true);
  runFor(freshnessMilliseconds + 100);
  t.false(isZoneEvacuated(world, 'z1'));
  t.false(canSendNewRequests(world, installation.now()));
  heal();
  runFor(recoveryMilliseconds);
  t.true(canSendNewRequests(world, installation.now()));
  t.false(isPlaceAllowed(world, { zone: 'z1' }, null));
  t.true(isPlaceAllowed(world, { zone: 'z2' }, null));
});

test('a proposal that comes after a later request of the operator has no effect', (t) => {
  const core = createFleetCore({ places: { ...defaultPlaceSettings, canEvacuate: true } });
  core.propose('declare', testDeclarationCommand());
  const late = createZoneEvacuated(core.world, 'z1');
  core.propose('first', createZoneEvacuated(core.world, 'z1'));
  core.propose('second', createZoneRestored(core.world, 'z1'));
  core.propose('late', late);
  t.false(isZoneEvacuated(core.world, 'z1'));
  const outcome = core.world.proposalOutcomes.get('late' as ProposalId)?.outcome;
  t.is(outcome?.kind === 'rejected' ? outcome.rejection.kind : outcome?.kind, 'zoneChanged');
  core.propose('again', createZoneEvacuated(core.world, 'z1'));
  t.true(isZoneEvacuated(core.world, 'z1'));
});

test('a repeated request keeps the time of the first', (t) => {
  const core = createFleetCore({ places: { ...defaultPlaceSettings, canEvacuate: true } });
  core.propose('first', createZoneEvacuated(core.world, 'z1'));
  const [row] = core.world.evacuations.rows();
  core.runFor(500);
  core.propose('second', createZoneEvacuated(core.world, 'z1'));
  const { lastIndex } = replicaOf(core.world);
  t.deepEqual([...core.world.evacuations.rows()], [{ ...row!, index: lastIndex }]);
});

test('a withdrawal that is committed late does not revert an evacuation that was confirmed meanwhile', (t) => {
  const core = createFleetCore({ places: { ...defaultPlaceSettings, canEvacuate: true } });
  core.propose('first', createZoneEvacuated(core.world, 'z1'));
  const pending = createZoneRestored(core.world, 'z1');
  core.propose('second', createZoneEvacuated(core.world, 'z1'));
  core.propose('late', pending);
  t.false(isPlaceAllowed(core.world, { zone: 'z1' }, null));
});

test('where the settings allow no evacuations, no zone counts as evacuated', (t) => {
  const core = createFleetCore();
  core.propose('evacuate', createZoneEvacuated(core.world, 'z1'));
  t.is(core.world.evacuations.get('z1' as never)?.index, replicaOf(core.world).lastIndex);
  t.true(isPlaceAllowed(core.world, { zone: 'z1' }, null));
  t.true(canSendNewRequests(core.world, core.now()));
});
