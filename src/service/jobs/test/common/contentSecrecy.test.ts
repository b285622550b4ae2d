/**
 * Guards against bodies or texts of a job outside its home regions.
 */
import test from 'ava';
import { testJob } from '../../../../../standins/virtual/fleetFixture.js';
import { captureReplicatedState } from '../../../consensus/common/replicatedState.js';
import { createContentFleet, daemonsAtHome, foreignEntry, itemWithBody } from './contentFleet.js';
import { body, checkBody, checkText, listText, stopAll, submitJob } from './contentSteps.js';

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
