/**
 * Guards against bodies or texts of a job outside its home regions.
 */
import test from 'ava';
import { testJob } from '../../../../../standins/virtual/fleetFixture.js';
import { asBrand } from '../../../../base/common/brand.js';
import { captureReplicatedState } from '../../../consensus/common/replicatedState.js';
import { itemIdOf } from '../../common/jobTables.js';
import { queueUnsavedText } from '../../common/saveTexts.js';
import { findCompleteText } from '../../common/textReuse.js';
import { createContentFleet, daemonsAtHome, foreignEntry, itemWithBody } from './contentFleet.js';
import { body, checkBody, checkText, listText, stopAll, submitJob, text } from './contentSteps.js';

/** Whether a value contains bytes or text of the job, however deep. */
const containsSecret = (value: unknown): boolean => {
  if (value instanceof Uint8Array) return Buffer.from(value).toString('latin1').includes('secret');
  if (typeof value === 'string') return value.includes('secret');
  if (typeof value !== 'object' || value === null) return false;
  return Object.values(value).some(containsSecret);
};

test('no body or text of a job with home regions is in the log or leaves them', async (t) => {
  const leaks: string[] = [];
  const allowed = new Set([...daemonsAtHome, foreignEntry]);
  let contentMessages = 0;
  const fleet = await createContentFleet({
    onDidSendMessage: (from, to, message) => {
      if (!containsSecret(message)) return;
      const isContent =
        message.kind === 'jobContentsOffered' || message.kind === 'jobContentsGiven';
      contentMessages += 1;
      if (!isContent || !allowed.has(to)) leaks.push(`${message.kind} ${from} ${to}`);
    },
  });
  await submitJob(fleet);
  await submitJob(fleet, 'k');
  await listText(fleet);
  await checkText(t, fleet, foreignEntry);
  await checkBody(t, fleet, foreignEntry, 'k');
  const [lost] = fleet.holdersOf('k').filter((name) => name !== fleet.leader());
  stopAll(fleet, [lost!]);
  await fleet.runFor(10_000);
  t.true(contentMessages > 0);
  t.deepEqual(leaks, []);
  fleet.installation.runningNames().forEach((name) => {
    const world = fleet.worldOf(name);
    t.false([...world.logEntries.rows()].some(containsSecret), `log of ${name}`);
    t.false(captureReplicatedState(world).some(containsSecret), `snapshot of ${name}`);
    t.false(fleet.installation.disk(name).read().includes('secret'), `disk of ${name}`);
    const isHolder = ['j', 'k'].some((job) => fleet.holdersOf(job).includes(name));
    if (!isHolder) t.is(world.heldContents.size(), 0, name);
  });
});

test('a job without home regions is stored in the log and read as before', async (t) => {
  const kinds = new Set<string>();
  const fleet = await createContentFleet({
    onDidSendMessage: (_from, _to, { kind }) => kinds.add(kind),
  });
  await fleet.propose(foreignEntry, 'job/j', testJob('j', [itemWithBody('j-item', body)]));
  await checkBody(t, fleet, foreignEntry);
  await listText(fleet);
  await checkText(t, fleet, foreignEntry);
  t.deepEqual(
    [...kinds].filter((kind) => kind.startsWith('jobContents')),
    [],
  );
  t.true([...fleet.worldOf(fleet.leader()).logEntries.rows()].some(containsSecret));
});

test('a partial text of a job with home regions is not saved in the log', async (t) => {
  const fleet = await createContentFleet();
  await submitJob(fleet);
  const world = fleet.worldOf(fleet.leader());
  const id = itemIdOf('j', 'j-item');
  const run = world.runs.get(id)!;
  queueUnsavedText(world, { ...run, events: 1, text }, fleet.installation.now());
  t.is(world.savedTexts.size(), 0);
});

test('a text that stays in its home regions is not used for a job without them', async (t) => {
  const fleet = await createContentFleet();
  await submitJob(fleet);
  await listText(fleet);
  const [holder] = fleet.holdersOf('j');
  const world = fleet.worldOf(holder!);
  const item = world.jobItems.get(itemIdOf('j', 'j-item'))!;
  const job = fleet.jobOf(holder!, 'j')!;
  const later = { ...job, id: asBrand<typeof job.id>('later') };
  t.is(findCompleteText(world, later, item)?.text, text);
  t.is(findCompleteText(world, { ...later, homeRegions: [] }, item), undefined);
  t.is(findCompleteText(world, { ...later, homeRegions: ['r1', 'r2'] }, item), undefined);
});
