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
import type { Registration } from '../../common/registryTables.js';

const settleMilliseconds = 6_000;
/** Within this time after the answer to its last word an upstream may get nothing new. */
const boundMilliseconds = 2_500;
/** It started before the wall clock of the test, which stands at 0. */
const engine = testEngine('e1', { startedAt: -1 });
const engineId = asBrand<UpstreamId>('e1');

/** Three control daemons and an entry, `d4`, that serves requests. */
const createInstallation = (): VirtualInstallation =>
  createVirtualInstallation({
    deployment: { ...createTestDeployment(4, 3), discovery: Discovery.Announced },
    tree: createTestTree(),
    seed: 3,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: 3 },
  });

const worldOf = (installation: VirtualInstallation, name: string) =>
  installation.daemon(name).core.world;

const report = (
  installation: VirtualInstallation,
  to: string,
  registration: Registration,
): void => {
  worldOf(installation, to).arrivedRegistrations.append({ registration, isDirect: true });
  installation.wake(to);
};

const leave = (installation: VirtualInstallation, to: string): void => {
  worldOf(installation, to).arrivedDepartures.append({ upstream: 'e1', startedAt: null });
  installation.wake(to);
};

const isKnownAt = (installation: VirtualInstallation, name: string): boolean =>
  worldOf(installation, name).registrations.has(engineId);

test('a last word that a daemon takes which does not know the upstream reaches all others', (t) => {
  const installation = createInstallation();
  installation.runFor(settleMilliseconds);
  report(installation, 'd1', engine);
  installation.runFor(100);
  worldOf(installation, 'd2').registrations.remove(engineId);
  t.true(isKnownAt(installation, 'd4'));

  leave(installation, 'd2');
  installation.runFor(boundMilliseconds);

  t.false(isKnownAt(installation, 'd4'));
  t.false(isKnownAt(installation, 'd1'));
});

test('a last word whose message is lost on the way comes with a later heartbeat', (t) => {
  const installation = createInstallation();
  installation.runFor(settleMilliseconds);
  report(installation, 'd1', engine);
  installation.runFor(100);

  installation.cut('d1', 'd4');
  leave(installation, 'd1');
  installation.runFor(300);
  installation.heal('d1', 'd4');
  t.true(isKnownAt(installation, 'd4'));
  installation.runFor(boundMilliseconds - 300);

  t.false(isKnownAt(installation, 'd4'));
});

test('a late report of a start that has left changes nothing; one of a new start counts', (t) => {
  const installation = createInstallation();
  installation.runFor(settleMilliseconds);
  report(installation, 'd1', engine);
  installation.runFor(100);
  leave(installation, 'd1');
  installation.runFor(100);

  report(installation, 'd2', { ...engine, sequence: 9 });
  installation.runFor(100);
  t.false(isKnownAt(installation, 'd4'));

  report(installation, 'd2', { ...engine, startedAt: 50 });
  installation.runFor(100);
  t.true(isKnownAt(installation, 'd4'));
});
