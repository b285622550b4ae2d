/**
 * Guards against rows without home regions or holders after an entry or a snapshot of an earlier
 * release was read.
 */
import test from 'ava';
import { testItem, testJob } from '../../../../../standins/virtual/fleetFixture.js';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { jobSubmittedSchema } from '../../common/jobCommands.js';
import { replicatedJobTables } from '../../common/replicatedJobTables.js';

test('an entry of an earlier release has no home regions and no holders', (t) => {
  const { homeRegions, holders, ...earlier } = testJob('j', [testItem('a')]);
  t.deepEqual(jobSubmittedSchema.parse(earlier), { ...earlier, homeRegions, holders });
});

test('a row of a snapshot of an earlier release has no home regions and no holders', (t) => {
  const core = createFleetCore();
  core.propose('job', testJob('j', [testItem('a')]));
  const [row] = [...core.world.jobs.rows()];
  const { homeRegions, holders, formerHolders, ...earlier } = row!;
  t.deepEqual([homeRegions, holders, formerHolders], [[], [], []]);
  t.deepEqual(replicatedJobTables.jobs.rowSchema.parse(earlier), row);
});
