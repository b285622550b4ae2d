/**
 * Guards against ticks that last as long as the state is large: taking a snapshot, and installing one.
 * A trial, not a timed check: it logs milliseconds, and fails only beyond the lease of a leader.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { putSnapshot } from '../../common/compaction.js';
import { leaseDurationMilliseconds } from '../../common/consensusTiming.js';
import { Topic } from '../../common/command.js';
import {
  arePartsReadable,
  captureReplicatedState,
  restoreReplicatedState,
} from '../../common/replicatedState.js';
import { SampleState } from '../../../rollout/common/ledgerRows.js';
import { openSnapshotFixture, worldOf } from './snapshotFixture.js';

[49_152, 196_608].forEach((count) => {
  test.serial(`a tick lasts as long as the state is large, with ${count} samples`, (t) => {
    const fixture = openSnapshotFixture({ seed: 14 });
    const world = worldOf(fixture, 'd1');
    const other = worldOf(fixture, 'd2');
    for (let position = 0; position < count; position += 1)
      world.samples.put({
        id: asBrand(`lot/${position}/0`),
        lot: asBrand('lot'),
        group: asBrand(`lot/${position}`),
        position,
        state: SampleState.Planned,
        attempt: null,
        spans: [],
        holders: [asBrand('d1'), asBrand('d2')],
      });
    const now = fixture.installation.now();
    const measure = (action: () => void): number => {
      const start = process.hrtime.bigint();
      action();
      return Number(process.hrtime.bigint() - start) / 1e6;
    };
    let parts: ReturnType<typeof captureReplicatedState> = [];
    const header = { index: 1_000, term: 1, votersIndex: 0, voters: [], leader: null };
    const taking = measure(() => {
      parts = captureReplicatedState(world);
      putSnapshot(world, { header, parts }, now);
    });
    const installing = measure(() => {
      t.true(arePartsReadable(parts));
      restoreReplicatedState(other, parts, Object.values(Topic), now);
      putSnapshot(other, { header, parts }, now);
    });
    t.log(
      `${parts.length} parts; taking ${taking.toFixed(0)} ms, installing ${installing.toFixed(0)} ms`,
    );
    t.true(taking < leaseDurationMilliseconds && installing < leaseDurationMilliseconds);
  });
});
