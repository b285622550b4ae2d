/**
 * A leaving entry must admit requests while callers may still hold address advice that lists it.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import type { ServiceName } from '../../../world/common/identifiers.js';
import {
  createTestDeployment,
  createTestTree,
  digestOf,
  settleMilliseconds,
} from '../../../../../standins/virtual/testDeployment.js';
import { createVirtualCallers } from '../../../../../standins/virtual/virtualCallers.js';
import { createVirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';

const request = {
  keyDigest: digestOf('key-one'),
  service: asBrand<ServiceName>('model'),
  estimatedTokens: 1,
};

const createInstallation = () => {
  const callers = createVirtualCallers(1);
  const installation = createVirtualInstallation({
    deployment: createTestDeployment(1, 1),
    tree: createTestTree(),
    seed: 1,
    ports: [callers.createPort],
  });
  installation.runFor(settleMilliseconds);
  return { callers, installation, world: installation.daemon('d1').core.world };
};

test('a leaving entry admits requests while advice that lists it is valid', (t) => {
  const { callers, installation, world } = createInstallation();
  world.setLeaving();
  const call = callers.send('d1', request);
  installation.runFor(10);
  t.is(call.outcome, null);
});

test('a leaving entry refuses requests as not run after advice that lists it has expired', (t) => {
  const { callers, installation, world } = createInstallation();
  world.setLeaving();
  world.setRefusingNewRequests();
  const call = callers.send('d1', request);
  installation.runFor(10);
  t.is(call.refusal?.kind, 'leaving');
  t.true(call.refusal?.notRun);
});
