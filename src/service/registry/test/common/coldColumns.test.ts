/**
 * The remaining cold time in registrations: how reports, relayed reports and reports of senders that
 * do not pass it on change a row. Guards against a new list for every entry with each report, and
 * against an upstream that counts as warm because a sender left the time out.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { testDeclaration, testEngine } from '../../../../../standins/virtual/fleetFixture.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import { coldLimitsOf, computeColdEnd } from '../../../places/common/coldState.js';
import type { UpstreamId } from '../../../world/common/identifiers.js';
import { applyRegistration, RegistrationDifference } from '../../common/applyRegistration.js';
import {
  listRegistrationsForEntries,
  reportTimeoutMilliseconds,
} from '../../common/registrations.js';
import { registrationSchema, type Registration } from '../../common/registryTables.js';

const coldLimit = { factor: 1.5, slack: 5 };
const { places } = defaultFleetSettings;

const createLimited = (): FleetCore => createFleetCore({ places: { ...places, coldLimit } });

const apply = ({ world, now }: FleetCore, columns: Partial<Registration>): RegistrationDifference =>
  applyRegistration(world, testEngine('e1', columns), now());

const rowOf = ({ world }: FleetCore) => world.registrations.get(asBrand<UpstreamId>('e1'))!;

test('reports of one cold time are one change, and its end is another one', (t) => {
  const core = createLimited();
  const start = core.now();
  t.is(apply(core, { sequence: 1, coldMilliseconds: 3_000 }), RegistrationDifference.Routing);
  core.runFor(1_000);
  t.is(apply(core, { sequence: 2, coldMilliseconds: 1_960 }), RegistrationDifference.None);
  t.is(rowOf(core).coldDeadline, start + 3_000);
  core.runFor(2_100);
  t.is(apply(core, { sequence: 3, coldMilliseconds: 0 }), RegistrationDifference.None);
});

test('an upstream that becomes cold again, or warm early, is a change', (t) => {
  const core = createLimited();
  apply(core, { sequence: 1, coldMilliseconds: 0 });
  t.is(apply(core, { sequence: 2, coldMilliseconds: 3_000 }), RegistrationDifference.Routing);
  core.runFor(1_000);
  t.is(apply(core, { sequence: 3, coldMilliseconds: 3_000 }), RegistrationDifference.Routing);
  t.is(rowOf(core).coldDeadline, core.now() + 3_000);
  t.is(apply(core, { sequence: 4, coldMilliseconds: 0 }), RegistrationDifference.Routing);
  t.true(rowOf(core).coldDeadline <= core.now());
});

test('a relayed registration carries the time that remains', (t) => {
  const core = createLimited();
  apply(core, { coldMilliseconds: 3_000 });
  core.runFor(1_000);
  const [relayed] = listRegistrationsForEntries(core.world, core.now());
  t.is(relayed?.coldMilliseconds, 2_000);
});

test('a sender without the time changes nothing of the same start and says nothing of a new one', (t) => {
  const core = createLimited();
  apply(core, { sequence: 1, coldMilliseconds: 3_000 });
  const reported = rowOf(core);
  apply(core, { sequence: 2 });
  t.is(rowOf(core).coldDeadline, reported.coldDeadline);
  t.true(rowOf(core).isColdReported);

  core.runFor(1_000);
  apply(core, { startedAt: 2, sequence: 1 });
  t.false(rowOf(core).isColdReported);
  const end = computeColdEnd(rowOf(core), Number.NEGATIVE_INFINITY, 2_000, core.now());
  t.is(end, core.now() + 2_000, 'cold for the declared time since it was first heard of');
  const [relayed] = listRegistrationsForEntries(core.world, core.now());
  t.false('coldMilliseconds' in relayed!);
});

test('an upstream whose reports are overdue counts as cold until one arrives', (t) => {
  const row = {
    reportDeadline: reportTimeoutMilliseconds,
    coldDeadline: Number.NEGATIVE_INFINITY,
    isColdReported: true,
    firstHeardAt: 0,
  };
  t.true(computeColdEnd(row, Number.NEGATIVE_INFINITY, 3_000, 2_200) <= 2_200);
  t.is(computeColdEnd(row, Number.NEGATIVE_INFINITY, 3_000, 2_201), Number.POSITIVE_INFINITY);
});

test('where the settings have no limit, registrations do not carry the time', (t) => {
  const core = createFleetCore();
  apply(core, { sequence: 1, coldMilliseconds: 3_000 });
  t.is(apply(core, { sequence: 2, coldMilliseconds: 0 }), RegistrationDifference.None);
  const [relayed] = listRegistrationsForEntries(core.world, core.now());
  t.false('coldMilliseconds' in relayed!);
});

test('a service that declares no cold start, 0 s or 0 requests a second has no limits', (t) => {
  const core = createLimited();
  const startWithColdTime = [
    undefined,
    null,
    { milliseconds: 0, requestsPerSecond: 12 },
    { milliseconds: 3_000, requestsPerSecond: 0 },
  ];
  startWithColdTime.forEach((coldStart) => {
    const declaration = testDeclaration();
    const services = declaration.services.map((service) =>
      coldStart === undefined ? service : { ...service, coldStart },
    );
    core.world.declarations.put({
      id: 'declaration',
      declaration: { ...declaration, services },
    } as never);
    t.is(coldLimitsOf(core.world, 'planner'), undefined);
  });
});

test('registrations of senders without the time are read', (t) => {
  const { coldMilliseconds, ...earlier } = testEngine('e1', { coldMilliseconds: 5 });
  t.is(coldMilliseconds, 5);
  t.true(registrationSchema.safeParse(earlier).success);
  t.false(registrationSchema.safeParse({ ...earlier, coldMilliseconds: -1 }).success);
  t.false(registrationSchema.safeParse({ ...earlier, coldMilliseconds: Number.NaN }).success);
});
