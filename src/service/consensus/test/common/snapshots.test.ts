/**
 * Guards against logs that grow without end, and against stores and entries that take longer to catch
 * up the older the log is.
 */
import test from 'ava';
import { EventKind } from '../../../events/common/eventKind.js';
import { replicaOf, snapshotOf } from '../../common/replicaLog.js';
import {
  absenceMilliseconds,
  changeMilliseconds,
  entry,
  followerOf,
  joinMilliseconds,
  leaderOf,
  loseDisk,
  maximumLogBytes,
  measureJoining,
  openSnapshotFixture,
  recoveryMilliseconds,
  spare,
  versionAt,
  voters,
  worldOf,
} from './snapshotFixture.js';

[20, 120].forEach((count) => {
  test(`the log grows without end, in memory and on disk, after ${count} changes`, (t) => {
    const fixture = openSnapshotFixture({ seed: 1 });
    fixture.change(entry, count);
    fixture.installation.runFor(absenceMilliseconds);
    voters.forEach((name) => {
      const rows = [...worldOf(fixture, name).logEntries.rows()];
      const logBytes = rows.reduce((sum, { encodedBytes }) => sum + encodedBytes, 0);
      t.true(logBytes <= maximumLogBytes, `${name}: ${logBytes} bytes in memory`);
      const diskBytes = fixture.installation.disk(name).read().length;
      t.true(diskBytes <= maximumLogBytes, `${name}: ${diskBytes} bytes on disk`);
    });
    t.is(versionAt(fixture, entry), count);
    t.deepEqual(fixture.violations(), []);
  });

  test(`a store with an empty disk takes as long to join as the log is old, after ${count} changes`, (t) => {
    const fixture = openSnapshotFixture({ seed: 2 });
    fixture.change(entry, count);
    const store = followerOf(fixture);
    fixture.takeBytesTo(store);
    loseDisk(fixture, store);
    const milliseconds = measureJoining(fixture, store);
    t.true(milliseconds <= joinMilliseconds, `${milliseconds} ms`);
    t.true(fixture.takeBytesTo(store) <= maximumLogBytes);
    t.is(versionAt(fixture, store), count);
    t.deepEqual(fixture.violations(), []);
  });

  test(`an entry that restarts receives the changes of the whole day, after ${count} changes`, (t) => {
    const fixture = openSnapshotFixture({ seed: 3 });
    fixture.change(voters[0]!, count);
    fixture.installation.stop(entry);
    fixture.installation.runFor(absenceMilliseconds);
    fixture.takeBytesTo(entry);
    fixture.installation.start(entry);
    fixture.installation.runFor(recoveryMilliseconds);
    t.is(versionAt(fixture, entry), count);
    t.true(fixture.takeBytesTo(entry) <= maximumLogBytes);
  });
});

test('a store never catches up with a log that grows while it joins', (t) => {
  const fixture = openSnapshotFixture({ seed: 4 });
  fixture.change(entry, 40);
  const store = followerOf(fixture);
  fixture.installation.stop(store);
  fixture.installation.disk(store).clear();
  fixture.change(entry, 10);
  fixture.installation.start(store);
  fixture.change(entry, joinMilliseconds / changeMilliseconds);
  t.true(replicaOf(worldOf(fixture, store)).hasJoined);
  fixture.installation.runFor(absenceMilliseconds);
  t.is(versionAt(fixture, store), fixture.lastVersion());
  t.deepEqual(fixture.violations(), []);
});

test('a store never joins if each third part of a snapshot is lost', (t) => {
  let parts = 0;
  const fixture = openSnapshotFixture({
    seed: 5,
    isLost: (_from, _to, { kind }) => {
      if (kind === 'snapshotSent') parts += 1;
      return kind === 'snapshotSent' && parts % 3 === 0;
    },
  });
  fixture.change(entry, 40);
  const store = followerOf(fixture);
  loseDisk(fixture, store);
  t.true(measureJoining(fixture, store) <= recoveryMilliseconds);
  t.is(versionAt(fixture, store), 40);
  t.deepEqual(fixture.violations(), []);
});

test('a store never joins if the sender of its snapshot is lost in the midst', (t) => {
  let sender: string | undefined;
  const fixture = openSnapshotFixture({
    seed: 6,
    onDidSend: (_installation, from, { kind }) => {
      if (kind === 'snapshotSent') sender ??= from;
    },
    isLost: (from, _to, { kind }) => kind === 'snapshotSent' && from === sender,
  });
  fixture.change(entry, 40);
  const store = followerOf(fixture);
  loseDisk(fixture, store);
  while (sender === undefined) fixture.installation.runFor(10);
  const lost = sender;
  fixture.installation.stop(lost);
  fixture.installation.runFor(absenceMilliseconds);
  sender = 'none';
  fixture.installation.start(lost);
  t.true(measureJoining(fixture, store) <= recoveryMilliseconds);
  t.is(versionAt(fixture, store), 40);
  t.deepEqual(fixture.violations(), []);
});

test('a voter that was cut off for long lacks entries that the leader has removed', (t) => {
  const fixture = openSnapshotFixture({ seed: 7 });
  fixture.change(entry, 5);
  const follower = followerOf(fixture);
  const others = [...voters, entry].filter((name) => name !== follower);
  others.forEach((name) => fixture.installation.cut(follower, name));
  fixture.change(entry, 40);
  others.forEach((name) => fixture.installation.heal(follower, name));
  fixture.installation.runFor(recoveryMilliseconds);
  t.is(versionAt(fixture, follower), 45);
  t.true(
    fixture.installation
      .events()
      .some(({ kind, process }) => kind === EventKind.SnapshotInstalled && process === follower),
  );
  t.deepEqual(fixture.violations(), []);
});

test('entries that were never accepted survive a snapshot at a leader that was cut off', (t) => {
  const fixture = openSnapshotFixture({ seed: 8 });
  fixture.change(entry, 5);
  const former = leaderOf(fixture)!;
  const others = [...voters, entry].filter((name) => name !== former);
  others.forEach((name) => fixture.installation.cut(former, name));
  fixture.change(former, 5);
  fixture.change(entry, 60);
  others.forEach((name) => fixture.installation.heal(former, name));
  fixture.installation.runFor(recoveryMilliseconds);
  [...voters, entry].forEach((name) => t.is(versionAt(fixture, name), fixture.lastVersion()));
  t.deepEqual(fixture.violations(), []);
});

test('voters replay the changes of the whole day after a loss of power', (t) => {
  const fixture = openSnapshotFixture({ seed: 9 });
  fixture.change(entry, 60);
  const { installation } = fixture;
  [...voters, entry].forEach((name) => installation.stop(name));
  const eventCount = installation.events().length;
  [...voters, entry].forEach((name) => installation.start(name));
  installation.runFor(recoveryMilliseconds);
  [...voters, entry].forEach((name) => t.is(versionAt(fixture, name), 60));
  const activations = installation
    .events()
    .slice(eventCount)
    .filter(({ kind, process }) => kind === EventKind.DeclarationActivated && process === 'd1');
  t.true(activations.length <= 10, `${activations.length} declarations`);
  t.deepEqual(fixture.violations(), []);
});

test('voters whose entry was removed are forgotten by a restart', (t) => {
  const fixture = openSnapshotFixture({ seed: 10 });
  const { installation } = fixture;
  const replaced = followerOf(fixture);
  fixture.change(entry, 2);
  installation.stop(replaced);
  installation.start(spare);
  installation.runFor(recoveryMilliseconds);
  fixture.change(entry, 40);
  const remaining = [...voters.filter((name) => name !== replaced), spare];
  remaining.forEach((name) => installation.stop(name));
  remaining.forEach((name) => installation.start(name));
  installation.runFor(recoveryMilliseconds);
  remaining.forEach((name) => {
    const world = worldOf(fixture, name);
    t.true((snapshotOf(world)?.header.votersIndex ?? 0) > 0);
    t.deepEqual(
      [...world.members.rows()].map(({ id }) => String(id)).sort(),
      [...remaining].sort(),
    );
  });
  t.is(versionAt(fixture, entry), 42);
  t.deepEqual(fixture.violations(), []);
});
