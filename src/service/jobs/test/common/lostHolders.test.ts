/**
 * Guards against a job with home regions that is accepted and then lost with some disks or a zone.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { testJob } from '../../../../../standins/virtual/fleetFixture.js';
import {
  createContentFleet,
  daemonsAtHome,
  foreignEntry,
  homeRegion,
  itemWithBody,
} from './contentFleet.js';
import { body, checkBody, checkText, listText, stopAll, submitJob } from './contentSteps.js';

test('bodies and texts are read from any entry after the loss of two holders', async (t) => {
  const fleet = await createContentFleet();
  await submitJob(fleet);
  await listText(fleet);
  await submitJob(fleet, 'k');
  const lost = fleet.holdersOf('k').slice(0, 2);
  stopAll(fleet, lost);
  await fleet.runFor(10_000);
  const entries = fleet.installation.runningNames();
  for (const entry of entries) {
    await checkBody(t, fleet, entry, 'k');
    await checkText(t, fleet, entry, 'j');
  }
});

test('bodies and texts are read from any entry after the loss of a zone', async (t) => {
  const fleet = await createContentFleet();
  await submitJob(fleet);
  await listText(fleet);
  await submitJob(fleet, 'k');
  stopAll(fleet, ['d2', 'd5', 'd8', 'd11']);
  await fleet.runFor(10_000);
  const entries = fleet.installation.runningNames();
  for (const entry of entries) {
    await checkBody(t, fleet, entry, 'k');
    await checkText(t, fleet, entry, 'j');
  }
  t.is(fleet.holdersOf('k').length, 3, 'the lost holders are replaced');
});

test('the contents of a lost holder are copied to another daemon', async (t) => {
  const fleet = await createContentFleet();
  await submitJob(fleet);
  await listText(fleet);
  await submitJob(fleet, 'k');
  const [lost] = fleet.holdersOf('k').filter((name) => name !== fleet.leader());
  stopAll(fleet, [lost!]);
  await fleet.runFor(10_000);
  ['j', 'k'].forEach((job) => {
    const holders = fleet.holdersOf(job);
    t.is(holders.length, 3);
    t.false(holders.includes(lost!));
    const digests = holders.map((name) => [...fleet.contents.contentsOf(name, job).keys()].length);
    t.true(
      digests.every((count) => count >= 1),
      `${job}: ${digests.join()}`,
    );
  });
});

test('a holder whose disk was lost copies the contents from the others', async (t) => {
  const fleet = await createContentFleet();
  await submitJob(fleet);
  const holder = fleet.holdersOf('j').find((name) => name !== fleet.leader())!;
  fleet.installation.stop(holder);
  fleet.contents.wipe(holder);
  t.is(fleet.contents.contentsOf(holder, 'j').size, 0);
  fleet.installation.start(holder);
  await fleet.runFor(3_000);
  t.true(fleet.holdersOf('j').includes(holder));
  t.is(fleet.contents.contentsOf(holder, 'j').size, 1);
  t.is(fleet.worldOf(holder).lackingContents.size(), 0);
});

test('a holder that restarts with its disk reads its contents and asks for none', async (t) => {
  const asked: string[] = [];
  const fleet = await createContentFleet({
    onDidSendMessage: (from, _to, { kind }) => {
      if (kind === 'jobContentsAsked') asked.push(from);
    },
  });
  await submitJob(fleet);
  const holder = fleet.holdersOf('j').find((name) => name !== fleet.leader())!;
  fleet.installation.stop(holder);
  fleet.installation.start(holder);
  await fleet.runFor(3_000);
  t.is(fleet.worldOf(holder).heldContents.size(), 1);
  t.deepEqual(asked, []);
});

test('a partitioned holder keeps contents of a job that it does not know yet', async (t) => {
  const fleet = await createContentFleet();
  const { storeJob } = fleet.contents.portsOf(foreignEntry).contents;
  void storeJob(testJob('j', [itemWithBody('j-item', body)]), [homeRegion], 3_000);
  fleet.installation.wake(foreignEntry);
  await fleet.runFor(100);
  const holder = daemonsAtHome.find(
    (name) => name !== fleet.leader() && fleet.contents.contentsOf(name, 'j').size > 0,
  )!;
  Array.from({ length: 12 }, (_, index) => `d${index + 1}`)
    .filter((name) => name !== holder)
    .forEach((name) => fleet.installation.cut(holder, name));
  await fleet.runFor(70_000);
  t.is(fleet.contents.contentsOf(holder, 'j').size, 1);
});

test('a job is accepted while a zone is lost, and one copy moves there once it is back', async (t) => {
  const fleet = await createContentFleet();
  stopAll(fleet, ['d2', 'd5', 'd8']);
  await fleet.runFor(6_000);
  const submission = fleet.submit(foreignEntry, 'j', [itemWithBody('j-item', body)]);
  await fleet.runFor(2_600);
  t.is(submission.outcome(), 'applied', 'after each daemon of the zone was asked once');
  t.deepEqual([...fleet.holdersOf('j')].sort(), ['d1', 'd4', 'd7']);
  await submitJob(fleet, 'k');
  ['d2', 'd5', 'd8'].forEach(fleet.installation.start);
  await fleet.runFor(6_000);
  const holders = fleet.holdersOf('j');
  t.is(holders.length, 3);
  t.is(new Set(holders.map((name) => fleet.worldOf(name).self.zone)).size, 2);
  holders.forEach((name) => t.is(fleet.contents.contentsOf(name, 'j').size, 1, name));
});

test('contents move to the new home regions of their route', async (t) => {
  const fleet = await createContentFleet();
  await submitJob(fleet);
  const former = fleet.holdersOf('j');
  await fleet.declareHomes(['r2'], 2);
  await fleet.runFor(3_000);
  t.deepEqual([...fleet.holdersOf('j')].sort(), ['d3', 'd6', 'd9']);
  t.deepEqual([...fleet.jobOf('d1', 'j')!.formerHolders].sort(), [...former].sort());
  fleet.holdersOf('j').forEach((name) => t.is(fleet.contents.contentsOf(name, 'j').size, 1));
  await checkBody(t, fleet, foreignEntry);
  await fleet.runFor(62_000);
  former.forEach((name) => t.is(fleet.contents.contentsOf(name, 'j').size, 0));
});

test('results are listed although a holder is lost or its disk is full, and it copies them', async (t) => {
  const fleet = await createContentFleet();
  await submitJob(fleet);
  const [first, second] = fleet.holdersOf('j').filter((name) => name !== fleet.leader());
  fleet.contents.failWrites(first!);
  fleet.installation.freeze(second!);
  await listText(fleet);
  t.is(fleet.jobOf(fleet.leader(), 'j')?.listed, 0, 'the frozen holder may still answer');
  await fleet.runFor(5_000);
  t.is(fleet.jobOf(fleet.leader(), 'j')?.listed, 1);
  fleet.installation.thaw(second!);
  await fleet.runFor(4_000);
  await checkText(t, fleet, foreignEntry);
});

test('new holders know those that have copies, however often they change', async (t) => {
  const fleet = await createContentFleet();
  await submitJob(fleet);
  const former = fleet.holdersOf('j');
  const holdersSet = { kind: 'holdersSet', job: 'j', holders: ['d3', 'd6', 'd9'] } as const;
  const world = fleet.worldOf(fleet.leader());
  ['first', 'repeated'].forEach((id) =>
    world.proposals.append({
      id: asBrand(id),
      command: holdersSet,
      proposalDeadline: fleet.installation.now() + 1_000,
    }),
  );
  fleet.installation.wake(fleet.leader());
  await fleet.runFor(100);
  t.deepEqual(
    former.filter((name) => !fleet.jobOf(fleet.leader(), 'j')!.formerHolders.includes(name)),
    [],
  );
});

test('contents are read from the next holder if the first two are silent', async (t) => {
  const silent = new Set<string>();
  const fleet = await createContentFleet({
    isLost: (_from, to, { kind }) => {
      if (kind === 'jobContentsAsked' && silent.size < 2) silent.add(to);
      return kind === 'jobContentsAsked' && silent.has(to);
    },
  });
  await submitJob(fleet);
  await checkBody(t, fleet, foreignEntry);
  t.is(silent.size, 2);
});
