/**
 * Upstreams that said in an answer that they leave, over several daemons: no later report, list or
 * return of the same start makes one of them usable again at the daemon that heard it.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import { testEngine } from '../../../../../standins/virtual/fleetFixture.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import {
  createVirtualInstallation,
  type VirtualInstallation,
} from '../../../../../standins/virtual/virtualInstallation.js';
import { Profile } from '../../../core/common/core.js';
import type { UpstreamId } from '../../../world/common/identifiers.js';
import { RegistrationState, type Registration } from '../../common/registryTables.js';

const warmUpMilliseconds = 6_000;
const drainMilliseconds = 2_500;
const reportIntervalMilliseconds = 1_200;
const engine = testEngine('e1', { startedAt: -1 });
const engineId = asBrand<UpstreamId>('e1');
const daemons = ['d1', 'd2', 'd3', 'd4', 'd5'];

/** Three control daemons, and the entry daemons `d4` and `d5`. */
const createInstallation = (): VirtualInstallation => {
  const installation = createVirtualInstallation({
    deployment: { ...createTestDeployment(daemons.length, 3), discovery: Discovery.Announced },
    tree: createTestTree(),
    seed: 3,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: 3 },
  });
  installation.runFor(warmUpMilliseconds);
  return installation;
};

const worldOf = (installation: VirtualInstallation, name: string) =>
  installation.daemon(name).core.world;

const report = (
  installation: VirtualInstallation,
  to: string,
  columns: Partial<Registration> = {},
): void => {
  worldOf(installation, to).arrivedRegistrations.append({
    registration: { ...engine, ...columns },
    isDirect: true,
  });
  installation.wake(to);
};

const receiveLeavingAnswer = (installation: VirtualInstallation, at: string): void => {
  worldOf(installation, at).leavingFacts.append({
    upstream: engine.upstream,
    startedAt: engine.startedAt,
  });
  installation.wake(at);
};

const isUsableAt = (installation: VirtualInstallation, name: string): boolean =>
  worldOf(installation, name).registrations.where('service', engine.service).length > 0;

const usableAt = (installation: VirtualInstallation): string[] =>
  daemons.filter((name) => isUsableAt(installation, name));

test('an answer of a leaving upstream at an entry is known at all daemons', (t) => {
  const installation = createInstallation();
  report(installation, 'd1');
  installation.runFor(200);
  t.deepEqual(usableAt(installation), daemons);

  receiveLeavingAnswer(installation, 'd4');
  installation.runFor(1);
  t.false(isUsableAt(installation, 'd4'), 'at once where it was received');
  installation.runFor(300);
  t.deepEqual(usableAt(installation), []);
});

test('reports and lists do not make a leaving upstream usable at a daemon out of touch', (t) => {
  const installation = createInstallation();
  report(installation, 'd1');
  installation.runFor(200);
  daemons
    .filter((name) => name !== 'd4')
    .forEach((name) => {
      installation.cut('d4', name);
    });
  receiveLeavingAnswer(installation, 'd4');
  installation.runFor(300);
  t.deepEqual(usableAt(installation), ['d1', 'd2', 'd3', 'd5']);
  daemons
    .filter((name) => name !== 'd4')
    .forEach((name) => {
      installation.heal('d4', name);
    });

  for (let sequence = 2; sequence < 12; sequence += 1) {
    report(installation, 'd2', { sequence });
    installation.runFor(reportIntervalMilliseconds);
    t.false(isUsableAt(installation, 'd4'), `report ${sequence}`);
  }
  t.is(worldOf(installation, 'd4').registrations.get(engineId)?.state, RegistrationState.Draining);
});

test('a leaving upstream whose registration expires and comes back stays unusable', (t) => {
  const installation = createInstallation();
  report(installation, 'd1');
  installation.runFor(200);
  receiveLeavingAnswer(installation, 'd4');
  installation.runFor(20_000);
  daemons.forEach((name) => t.false(worldOf(installation, name).registrations.has(engineId)));

  report(installation, 'd1', { sequence: 2 });
  installation.runFor(drainMilliseconds);
  t.true(worldOf(installation, 'd4').registrations.has(engineId));
  t.deepEqual(usableAt(installation), []);

  report(installation, 'd1', { startedAt: 50 });
  installation.runFor(drainMilliseconds);
  t.deepEqual(usableAt(installation), daemons, 'a later start is usable');
});

test('the answer of an earlier start does not concern a later one', (t) => {
  const installation = createInstallation();
  report(installation, 'd1', { startedAt: 50 });
  installation.runFor(200);
  receiveLeavingAnswer(installation, 'd4');
  installation.runFor(500);
  t.deepEqual(usableAt(installation), daemons);
});

test('one event tells of the change, and the row is removed after a while', (t) => {
  const installation = createInstallation();
  report(installation, 'd1');
  installation.runFor(200);
  const world = worldOf(installation, 'd1');
  const kinds: unknown[] = [];
  const { append } = world.events;
  Object.assign(world.events, {
    append: (event: { kind: string; subject: { state?: unknown } }) => {
      if (event.kind === 'registrationChanged') kinds.push(event.subject.state);
      append(event as never);
    },
  });
  receiveLeavingAnswer(installation, 'd1');
  receiveLeavingAnswer(installation, 'd1');
  installation.runFor(500);
  t.deepEqual(kinds, ['leaving']);
  t.is(world.leavingUpstreams.size(), 1);
  installation.runFor(601_000);
  t.is(world.leavingUpstreams.size(), 0);
});
