/**
 * Guards against a voter that learns of its removal from a snapshot and stays a voter for ever: nobody
 * sends it entries, and the voters that others report are no news to it.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import type { DaemonId } from '../../../world/common/identifiers.js';
import { replicaOf, snapshotOf } from '../../common/replicaLog.js';
import { ReplicaState } from '../../common/replicaTables.js';
import {
  entry,
  followerOf,
  leaderOf,
  openSnapshotFixture,
  recoveryMilliseconds,
  spare,
  versionAt,
  voters,
  worldOf,
} from './snapshotFixture.js';

test('a voter that was removed by a snapshot that it installs never follows again', (t) => {
  const fixture = openSnapshotFixture({ seed: 11 });
  const { installation } = fixture;
  fixture.change(entry, 5);
  const removed = followerOf(fixture);
  const others = [...voters, entry, spare].filter((name) => name !== removed);
  installation.start(spare);
  others.forEach((name) => installation.cut(removed, name));
  installation.runFor(recoveryMilliseconds);
  fixture.change(entry, 60);
  const leader = leaderOf(fixture)!;
  const snapshot = snapshotOf(worldOf(fixture, leader))!;
  t.false(snapshot.header.voters.includes(removed));
  // The offer overtakes the heartbeat that names the voters: e.g. the answer to a request for a part of
  // the snapshot that the leader has replaced.
  others.forEach((name) => installation.heal(removed, name));
  const { core } = installation.daemon(removed);
  const sendOffer = (): void => {
    worldOf(fixture, leader).outgoingMessages.append({
      to: asBrand<DaemonId>(removed),
      message: { kind: 'snapshotOffered', index: snapshot.header.index },
    });
    installation.wake(leader);
  };
  sendOffer();
  for (
    let waited = 0;
    waited < 1_000 && snapshotOf(core.world)?.header.index !== snapshot.header.index;
    waited += 5
  )
    installation.runFor(5);
  t.log(replicaOf(core.world).state, snapshotOf(core.world)?.header.index, snapshot.header.index);
  installation.runFor(recoveryMilliseconds);
  fixture.change(entry, 3);
  installation.runFor(recoveryMilliseconds);
  t.is(replicaOf(core.world).state, ReplicaState.Learner);
  t.is(versionAt(fixture, removed), fixture.lastVersion());
});
