/**
 * Guards against a voter that has installed a snapshot and never receives the entries after it, so
 * that it has not joined for as long as nothing further is compacted.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import { replicaOf } from '../../common/replicaLog.js';

const voters = ['d1', 'd2', 'd3'];
const settleMilliseconds = 6_000;
const changeMilliseconds = 300;
const documentBytes = 200_000;
/** Two snapshots, and some entries after the second one. */
const changeCount = 24;

test('a voter that joins by a snapshot never receives the entries after it', (t) => {
  const installation = createAnnouncedInstallation({
    daemonCount: voters.length,
    voterCount: voters.length,
    seed: 1,
    voters: (_name, incarnation) => (incarnation === 1 ? voters : []),
  });
  const replica = (name: string) => replicaOf(installation.daemon(name).core.world);
  installation.runFor(settleMilliseconds);
  for (let version = 1; version <= changeCount; version += 1) {
    installation.daemon('d1').core.world.proposals.append({
      id: asBrand(`declare-${version}`),
      command: { ...testDeclarationCommand(version), document: 'x'.repeat(documentBytes) },
      proposalDeadline: installation.now() + settleMilliseconds,
    });
    installation.wake('d1');
    installation.runFor(changeMilliseconds);
  }
  const { leader, lastIndex } = replica('d1');
  t.true(replica(leader!).compactedIndex > 0, 'the log was compacted');
  const store = voters.find((name) => name !== leader)!;
  installation.stop(store);
  installation.disk(store).clear();
  installation.start(store);
  installation.runFor(2 * settleMilliseconds);
  t.like(replica(store), { lastIndex, hasJoined: true });
});
