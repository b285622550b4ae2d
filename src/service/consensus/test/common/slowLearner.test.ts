/**
 * Guards against a learner that catches up several times slower than its link allows, because what is
 * still under way to it counts as lost and is sent again. The largest batch takes longer than the
 * resend delay on the slower link.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import type { VirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import { replicaOf } from '../../common/replicaLog.js';

const voters = ['d1', 'd2', 'd3'];
/** A store that does not vote, and an entry. */
const learners = ['d4', 'd5'];
const bandwidths = [1_000_000, 400_000];
const settleMilliseconds = 6_000;
const changeCount = 200;
const documentBytes = 20_000;
const pollMilliseconds = 100;
const millisecondsPerSecond = 1_000;
const latencyMilliseconds = 2;

const lastIndexOf = (installation: VirtualInstallation, name: string): number =>
  replicaOf(installation.daemon(name).core.world).lastIndex;

const declareAll = (installation: VirtualInstallation, bandwidth: number): void => {
  // A change passes two links, and takes half of the time of each.
  const interval = (2 * documentBytes * millisecondsPerSecond) / bandwidth;
  for (let version = 1; version <= changeCount; version += 1) {
    installation.daemon('d1').core.world.proposals.append({
      id: asBrand(`declare-${version}`),
      command: {
        ...testDeclarationCommand(version),
        document: `${version} `.padEnd(documentBytes, 'x'),
      },
      proposalDeadline: installation.now() + settleMilliseconds,
    });
    installation.wake('d1');
    installation.runFor(interval);
  }
  installation.runFor(settleMilliseconds);
};

bandwidths.forEach((bandwidth) =>
  learners.forEach((learner) => {
    test.serial(
      `a learner catches up about as fast as its link, ${learner} at ${bandwidth} bytes a second`,
      (t) => {
        const installation = createAnnouncedInstallation({
          daemonCount: 5,
          controlCount: 4,
          voterCount: 3,
          seed: 1,
          initiallyStopped: learners,
          voters: (name) => (voters.includes(name) ? voters : []),
          latency: () => latencyMilliseconds,
          bandwidth,
        });
        installation.runFor(settleMilliseconds);
        declareAll(installation, bandwidth);
        const total = lastIndexOf(installation, 'd1');
        t.true(total > changeCount);
        const startedAt = installation.now();
        const leastDuration = (changeCount * documentBytes * millisecondsPerSecond) / bandwidth;
        const end = startedAt + 2 * leastDuration;
        installation.start(learner);
        while (installation.now() < end && lastIndexOf(installation, learner) < total)
          installation.runFor(pollMilliseconds);
        t.is(lastIndexOf(installation, learner), total);
      },
    );
  }),
);
