import test from 'ava';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { worldOf } from '../../../../../standins/virtual/inspection.js';
import { canActAsLeader, leadershipOf } from '../../../consensus/common/lease.js';
import { usageWindowIdOf } from '../../common/meteringTables.js';

const name = 'd1';
const leaderMilliseconds = 6_000;
const window = 7;

test('a usage report does not bear the fencing token of an earlier leadership', (t) => {
  const installation = createAnnouncedInstallation({
    daemonCount: 1,
    voterCount: 1,
    seed: 1,
    voters: () => [name],
  });
  installation.runFor(leaderMilliseconds);
  const world = worldOf(installation, name);
  t.true(canActAsLeader(world, installation.now()));
  const { fencing } = leadershipOf(world);
  const id = usageWindowIdOf(window);
  const sendDeadline = installation.now();
  const report = { id, window, counts: {}, isInFlight: false, sendDeadline };
  world.usageReports.put({ ...report, fencing: fencing - 1 });
  installation.wake(name);
  t.true(world.usageReports.get(id)!.isInFlight);
  t.is(world.usageReports.get(id)!.fencing, fencing);
});
