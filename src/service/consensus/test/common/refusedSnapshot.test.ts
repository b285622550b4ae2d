/**
 * Guards against a snapshot that a voter can't read and that is sent to it again without end and
 * without a pause: each transfer costs the link the whole state.
 */
import test from 'ava';
import { snapshotOf } from '../../common/replicaLog.js';
import { entry, followerOf, openSnapshotFixture, voters, worldOf } from './snapshotFixture.js';
import { EventKind } from '../../../events/common/eventKind.js';
import { snapshotId } from '../../common/snapshotTables.js';

test('a snapshot that was refused is sent again at once', (t) => {
  const fixture = openSnapshotFixture({ seed: 7 });
  const { installation } = fixture;
  fixture.change(entry, 5);
  const lagging = followerOf(fixture);
  const others = [...voters, entry].filter((name) => name !== lagging);
  others.forEach((name) => installation.cut(lagging, name));
  fixture.change(entry, 40);
  // Until no transfer keeps a snapshot from being replaced.
  installation.runFor(6_000);
  // As from a release whose rows this one can't read.
  voters
    .filter((name) => name !== lagging)
    .forEach((name) => {
      const world = worldOf(fixture, name);
      const { parts } = snapshotOf(world)!;
      world.snapshots.change(snapshotId, {
        parts: [...parts, { table: 'lots', rows: [{ id: 'later' }] }],
      });
    });
  const first = installation.events().length;
  others.forEach((name) => installation.heal(lagging, name));
  installation.runFor(10_000);
  const refused = installation
    .events()
    .slice(first)
    .filter(({ kind, process }) => kind === EventKind.SnapshotRefused && process === lagging);
  const counts: Record<string, number> = {};
  installation
    .events()
    .slice(first)
    .filter(({ process }) => process === lagging)
    .forEach(({ kind }) => {
      counts[kind] = (counts[kind] ?? 0) + 1;
    });
  t.log(
    counts,
    lagging,
    voters.map((name) => snapshotOf(worldOf(fixture, name))?.header.index),
  );
  t.log(`${refused.length} transfers refused in 10 s`);
  t.true(refused.length <= 10);
});
