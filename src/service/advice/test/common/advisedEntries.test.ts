import test from 'ava';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import {
  createVirtualInstallation,
  type VirtualInstallation,
} from '../../../../../standins/virtual/virtualInstallation.js';
import { Profile } from '../../../core/common/core.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import { adviseEntries } from '../../common/adviseEntries.js';

const settleMilliseconds = 6_000;
const anywhere = { zone: '', region: '' };

/** One control daemon and two entries, all of which advise callers. */
const create = (): VirtualInstallation => {
  const installation = createVirtualInstallation({
    deployment: { ...createTestDeployment(3, 1), discovery: Discovery.Announced },
    tree: createTestTree(),
    seed: 5,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: 1 },
    voters: () => ['d1'],
  });
  installation.runFor(settleMilliseconds);
  installation.daemon('d1').core.world.proposals.append({
    id: 'declare' as never,
    command: testDeclarationCommand(),
    proposalDeadline: installation.now() + settleMilliseconds,
  });
  installation.wake('d1');
  installation.runFor(settleMilliseconds);
  return installation;
};

const adviceOf = (installation: VirtualInstallation, name: string): string[] =>
  adviseEntries(installation.daemon(name).core.world, anywhere).sort();

const addressOf = (installation: VirtualInstallation, name: string): string =>
  installation.daemon(name).core.world.self.callerAddress;

test('an entry advises the entries that a control daemon knows', (t) => {
  const installation = create();
  const expected = ['d2', 'd3'].map((name) => addressOf(installation, name));
  t.true(expected.every((address) => adviceOf(installation, 'd1').includes(address)));
  t.deepEqual(adviceOf(installation, 'd2'), adviceOf(installation, 'd1'));
  t.deepEqual(adviceOf(installation, 'd3'), adviceOf(installation, 'd1'));
});

test('an entry that leaves is not advised any more by the others', (t) => {
  const installation = create();
  const left = addressOf(installation, 'd3');
  installation.daemon('d3').core.world.setLeaving();
  installation.runFor(settleMilliseconds / 2);
  t.false(adviceOf(installation, 'd2').includes(left));
});

test('an entry that hears of no control daemon advises nobody', (t) => {
  const installation = create();
  installation.stop('d1');
  installation.runFor(settleMilliseconds);
  t.deepEqual(adviceOf(installation, 'd2'), []);
});
