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

const warmUpMilliseconds = 6_000;
/** After this time since its departure was acknowledged, an upstream must not receive new work. */
const propagationMilliseconds = 2_500;
/** The engine started before the test's wall clock, which is at 0. */
const engine = testEngine('e1', { startedAt: -1 });
const engineId = asBrand<UpstreamId>('e1');

/** Three control daemons and an entry daemon, `d4`, which serves requests. */
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

const sendReport = (
  installation: VirtualInstallation,
  to: string,
  registration: Registration,
): void => {
  worldOf(installation, to).arrivedRegistrations.append({ registration, isDirect: true });
  installation.wake(to);
};

const sendDeparture = (installation: VirtualInstallation, to: string): void => {
  worldOf(installation, to).arrivedDepartures.append({ upstream: 'e1', startedAt: null });
  installation.wake(to);
};

const isRegisteredAt = (installation: VirtualInstallation, name: string): boolean =>
  worldOf(installation, name).registrations.has(engineId);

test('a departure received by a daemon without the registration reaches all daemons', (t) => {
  const installation = createInstallation();
  installation.runFor(warmUpMilliseconds);
  sendReport(installation, 'd1', engine);
  installation.runFor(100);
  worldOf(installation, 'd2').registrations.remove(engineId);
  t.true(isRegisteredAt(installation, 'd4'));

  sendDeparture(installation, 'd2');
  installation.runFor(propagationMilliseconds);

  t.false(isRegisteredAt(installation, 'd4'));
  t.false(isRegisteredAt(installation, 'd1'));
});

test('a departure whose message is lost is delivered by a later heartbeat', (t) => {
  const installation = createInstallation();
  installation.runFor(warmUpMilliseconds);
  sendReport(installation, 'd1', engine);
  installation.runFor(100);

  // Every control daemon sends a departure to the entries that contact it.
  const controlDaemons = ['d1', 'd2', 'd3'];
  controlDaemons.forEach((name) => installation.cut(name, 'd4'));
  sendDeparture(installation, 'd1');
  installation.runFor(300);
  controlDaemons.forEach((name) => installation.heal(name, 'd4'));
  t.true(isRegisteredAt(installation, 'd4'));
  installation.runFor(propagationMilliseconds - 300);

  t.false(isRegisteredAt(installation, 'd4'));
});

test('a late report of a departed start is ignored, and a new start is accepted', (t) => {
  const installation = createInstallation();
  installation.runFor(warmUpMilliseconds);
  sendReport(installation, 'd1', engine);
  installation.runFor(100);
  sendDeparture(installation, 'd1');
  installation.runFor(100);

  sendReport(installation, 'd2', { ...engine, sequence: 9 });
  installation.runFor(100);
  t.false(isRegisteredAt(installation, 'd4'));

  sendReport(installation, 'd2', { ...engine, startedAt: 50 });
  installation.runFor(100);
  t.true(isRegisteredAt(installation, 'd4'));
});
