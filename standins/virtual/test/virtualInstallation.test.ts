/**
 * Production cores on virtual time exchange heartbeats, suspect unreachable daemons and recover.
 */
import test from 'ava';
import { asBrand } from '../../../src/base/common/brand.js';
import type { DaemonId } from '../../../src/service/world/common/identifiers.js';
import { createTestDeployment, createTestTree } from '../testDeployment.js';
import { createVirtualInstallation } from '../virtualInstallation.js';

const createInstallation = () =>
  createVirtualInstallation({
    deployment: createTestDeployment(7, 3),
    tree: createTestTree(),
    seed: 1,
  });

const stateAt = (
  installation: ReturnType<typeof createInstallation>,
  observer: string,
  observedDaemon: string,
) => installation.daemon(observer).core.world.daemons.get(asBrand<DaemonId>(observedDaemon))?.state;

test('daemons learn by heartbeats that the others are alive', (t) => {
  const installation = createInstallation();
  installation.runFor(10);
  t.is(stateAt(installation, 'd1', 'd7'), 'alive');
});

test('a daemon behind a network cut is suspected, and alive again after the cut is healed', (t) => {
  const installation = createInstallation();
  installation.runFor(10);
  installation.cut('d1', 'd2');
  installation.runFor(10_000);
  t.is(stateAt(installation, 'd1', 'd2'), 'suspected');
  t.is(stateAt(installation, 'd3', 'd2'), 'alive');
  installation.heal('d1', 'd2');
  installation.runFor(2_000);
  t.is(stateAt(installation, 'd1', 'd2'), 'alive');
});

test('a frozen daemon is suspected, and alive again after it is thawed', (t) => {
  const installation = createInstallation();
  installation.runFor(10);
  installation.freeze('d2');
  installation.runFor(10_000);
  t.is(stateAt(installation, 'd1', 'd2'), 'suspected');
  installation.thaw('d2');
  installation.runFor(2_000);
  t.is(stateAt(installation, 'd1', 'd2'), 'alive');
});

test('a restarted daemon has a higher incarnation', (t) => {
  const installation = createInstallation();
  installation.runFor(10);
  installation.stop('d2');
  installation.start('d2');
  installation.runFor(2_000);
  const row = installation.daemon('d1').core.world.daemons.get(asBrand<DaemonId>('d2'));
  t.is(row?.incarnation, 2);
});
