/**
 * Guards against a job with home regions that is accepted before enough daemons have stored it, and
 * against contents that stay after their job.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import type { Message } from '../../../messages/common/message.js';
import { testJob } from '../../../../../standins/virtual/fleetFixture.js';
import { ItemResult } from '../../common/jobCommands.js';
import {
  createContentFleet,
  daemonsAtHome,
  foreignEntry,
  homeRegion,
  itemWithBody,
} from './contentFleet.js';
import { body, stopAll, submitJob } from './contentSteps.js';

test('a job is stored by three daemons in two zones of its home region', async (t) => {
  const fleet = await createContentFleet();
  await submitJob(fleet);
  const holders = fleet.holdersOf('j');
  t.is(holders.length, 3);
  t.true(holders.every((name) => daemonsAtHome.includes(name)));
  const zones = holders.map((name) => fleet.worldOf(name).self.zone);
  t.is(new Set(zones).size, 2);
  holders.forEach((name) => t.is(fleet.contents.contentsOf(name, 'j').size, 1));
});

test('a job is proposed only after its holders have synced its bodies', async (t) => {
  const fleet = await createContentFleet();
  daemonsAtHome.forEach((name) => fleet.contents.setSyncDelay(name, 400));
  const submission = fleet.submit(foreignEntry, 'j', [itemWithBody('j-item', body)]);
  await fleet.runFor(390);
  t.is(submission.outcome(), 'pending');
  t.is(fleet.jobOf(fleet.leader(), 'j'), undefined);
  await fleet.runFor(200);
  t.is(submission.outcome(), 'applied');
});

test('a holder that is lost while it stores is replaced', async (t) => {
  const lost = new Set<string>();
  const fleet = await createContentFleet({
    isLost: (_from, to, { kind }) => {
      if (kind === 'jobContentsOffered' && lost.size === 0) lost.add(to);
      return kind === 'jobContentsOffered' && lost.has(to);
    },
  });
  const submission = fleet.submit(foreignEntry, 'j', [itemWithBody('j-item', body)]);
  await fleet.runFor(690);
  t.is(submission.outcome(), 'pending');
  await fleet.runFor(300);
  t.is(submission.outcome(), 'applied');
  t.is(fleet.holdersOf('j').length, 3);
  t.false(fleet.holdersOf('j').some((name) => lost.has(name)));
});

test('a daemon whose disk is full is no holder', async (t) => {
  const fleet = await createContentFleet();
  fleet.contents.failWrites('d1');
  fleet.contents.failWrites('d2');
  await submitJob(fleet);
  t.is(fleet.holdersOf('j').length, 3);
  t.false(fleet.holdersOf('j').some((name) => ['d1', 'd2'].includes(name)));
});

test('a job without enough holders is refused, and nothing of it is proposed', async (t) => {
  const messages: Message[] = [];
  const fleet = await createContentFleet({
    onDidSendMessage: (_from, _to, message) => messages.push(message),
  });
  ['d1', 'd2', 'd4', 'd5'].forEach((name) => fleet.contents.failWrites(name));
  const submission = fleet.submit(foreignEntry, 'j', [itemWithBody('j-item', body)]);
  await fleet.runFor(1_000);
  t.is(submission.outcome(), 'refused');
  const proposed = messages.filter(
    (message) => message.kind === 'proposalForwarded' && message.command.kind === 'jobSubmitted',
  );
  t.deepEqual(proposed, []);
  t.is(fleet.jobOf(fleet.leader(), 'j'), undefined);
  t.is(fleet.worldOf(foreignEntry).contentStorings.size(), 0);
  t.is(fleet.worldOf(foreignEntry).contentCopies.size(), 0);
});

test('a job is refused at once if no control daemon is in its home region', async (t) => {
  const fleet = await createContentFleet();
  const submission = fleet.submit(foreignEntry, 'j', [itemWithBody('j-item', body)], ['r9']);
  await fleet.runFor(20);
  t.is(submission.outcome(), 'refused');
});

test('a job of several megabytes is stored in messages of limited size', async (t) => {
  const sizes: number[] = [];
  const fleet = await createContentFleet({
    onDidSendMessage: (_from, _to, message) => {
      if (message.kind === 'jobContentsOffered')
        sizes.push(message.contents.reduce((sum, { bytes }) => sum + bytes.length, 0));
    },
  });
  const items = Array.from({ length: 60 }, (_, index) =>
    itemWithBody(`i${index}`, `${index} `.padEnd(100_000, 'x')),
  );
  const submission = fleet.submit(foreignEntry, 'j', items);
  await fleet.runFor(600);
  t.is(submission.outcome(), 'applied');
  t.true(Math.max(...sizes) <= 256 * 1024);
  t.is(sizes.length, 90, 'two bodies a message, to three holders');
  fleet
    .holdersOf('j')
    .forEach((name) => t.is(fleet.contents.contentsOf(name, 'j').size, items.length));
});

test('contents of an entry that was lost before it proposed are removed after a minute', async (t) => {
  const fleet = await createContentFleet();
  const { storeJob } = fleet.contents.portsOf(foreignEntry).contents;
  void storeJob(testJob('j', [itemWithBody('j-item', body)]), [homeRegion], 3_000);
  fleet.installation.wake(foreignEntry);
  await fleet.runFor(100);
  stopAll(fleet, [foreignEntry]);
  const countHolders = (): number =>
    daemonsAtHome.filter((name) => fleet.contents.contentsOf(name, 'j').size > 0).length;
  await fleet.runFor(1_000);
  t.is(countHolders(), 3);
  await fleet.runFor(62_000);
  t.is(countHolders(), 0);
  daemonsAtHome.forEach((name) => t.is(fleet.worldOf(name).heldContents.size(), 0));
});

test('contents are kept for their job, and removed when it is forgotten', async (t) => {
  const fleet = await createContentFleet();
  await submitJob(fleet);
  const holders = fleet.holdersOf('j');
  await fleet.runFor(65_000);
  holders.forEach((name) => t.is(fleet.contents.contentsOf(name, 'j').size, 1));
  await fleet.propose(fleet.leader(), 'forget/j', { kind: 'jobForgotten', job: 'j' });
  holders.forEach((name) => {
    t.is(fleet.contents.contentsOf(name, 'j').size, 0);
    t.is(fleet.worldOf(name).heldContents.size(), 0);
  });
});

test('a dead item of a job with home regions is listed without a text', async (t) => {
  const fleet = await createContentFleet();
  await submitJob(fleet);
  const runner = fleet.jobOf(fleet.leader(), 'j')!.runner!;
  fleet.worldOf(runner).itemResults.append({
    job: asBrand('j'),
    listed: { item: 'j-item', result: ItemResult.Dead, text: '', versions: [], score: null },
  });
  fleet.installation.wake(runner);
  await fleet.runFor(300);
  t.is(fleet.jobOf(runner, 'j')?.listed, 1);
});

test('a job without items is accepted', async (t) => {
  const fleet = await createContentFleet();
  const submission = fleet.submit(foreignEntry, 'j', []);
  await fleet.runFor(300);
  t.is(submission.outcome(), 'applied');
});

test('a job that is submitted again is accepted, and its holders keep its contents', async (t) => {
  const fleet = await createContentFleet();
  await submitJob(fleet);
  const holders = fleet.holdersOf('j');
  const submission = fleet.submit('d11', 'j', [itemWithBody('j-item', body)]);
  await fleet.runFor(600);
  t.is(submission.outcome(), 'applied');
  await fleet.runFor(62_000);
  t.deepEqual(fleet.holdersOf('j'), holders);
  holders.forEach((name) => t.is(fleet.contents.contentsOf(name, 'j').size, 1));
});
