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
import { selectEntryAddresses } from '../../common/adviseEntries.js';

const settleMilliseconds = 6_000;
const unknownLocation = { zone: '', region: '' };

/** Creates one control daemon and two entries, all of which give address advice. */
const createInstallation = (): VirtualInstallation => {
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

const listAdvisedAddresses = (installation: VirtualInstallation, name: string): string[] =>
  selectEntryAddresses(installation.daemon(name).core.world, unknownLocation).sort();

const addressOf = (installation: VirtualInstallation, name: string): string =>
  installation.daemon(name).core.world.self.callerAddress;

test('an entry returns the addresses of the entries that a control daemon knows', (t) => {
  const installation = createInstallation();
  const expected = ['d2', 'd3'].map((name) => addressOf(installation, name));
  t.true(expected.every((address) => listAdvisedAddresses(installation, 'd1').includes(address)));
  t.deepEqual(listAdvisedAddresses(installation, 'd2'), listAdvisedAddresses(installation, 'd1'));
  t.deepEqual(listAdvisedAddresses(installation, 'd3'), listAdvisedAddresses(installation, 'd1'));
});

test('the address of a leaving entry is no longer returned by the others', (t) => {
  const installation = createInstallation();
  const leavingAddress = addressOf(installation, 'd3');
  installation.daemon('d3').core.world.setLeaving();
  installation.runFor(settleMilliseconds / 2);
  t.false(listAdvisedAddresses(installation, 'd2').includes(leavingAddress));
});

test('an entry without contact to a control daemon returns no addresses', (t) => {
  const installation = createInstallation();
  installation.stop('d1');
  installation.runFor(settleMilliseconds);
  t.deepEqual(listAdvisedAddresses(installation, 'd2'), []);
});
