import test from 'ava';
import {
  testDeclarationCommand,
  testEngine,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { CallState } from '../../../forwarding/common/forwardingTables.js';
import { RunState, itemIdOf } from '../../common/jobTables.js';
import { ItemResult } from '../../common/jobCommands.js';

const listedItem = (item: string) => ({
  item,
  result: ItemResult.Completed,
  text: 'done',
  versions: [1],
  score: null,
});

test('an item that an earlier proposal lists is no longer run', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  core.propose('job', testJob('j', [testItem('a')]));
  t.is(core.world.runs.get(itemIdOf('j', 'a'))?.state, RunState.Waiting);

  core.propose('list', { kind: 'itemsListed', job: 'j', results: [listedItem('a')] });
  core.world.arrivedRegistrations.append({ registration: testEngine('e1'), isDirect: false });
  core.settle();

  t.is(core.world.runs.get(itemIdOf('j', 'a')), undefined);
});

test('a broken text continues after its last event on another engine', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  core.world.arrivedRegistrations.append({ registration: testEngine('e1'), isDirect: false });
  core.world.arrivedRegistrations.append({ registration: testEngine('e2'), isDirect: false });
  core.propose('job', testJob('j', [testItem('a')]));
  const id = itemIdOf('j', 'a');
  const first = core.world.runs.get(id)!;
  t.is(first.state, RunState.Running);

  core.world.runFacts.append({
    kind: 'broken',
    item: id,
    start: first.start,
    text: ['x', 'y'],
    versions: [1],
    reason: 'reset',
  });
  core.runFor(200);

  const second = core.world.runs.get(id)!;
  t.is(second.state, RunState.Running);
  t.not(second.upstream, first.upstream);
  t.is(second.events, 2);
  t.is(second.text, 'x\ny');
});

test('a text of a version that the job does not allow is discarded and run again', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  core.world.arrivedRegistrations.append({
    registration: testEngine('e1', { models: [{ name: 'm0', version: 3 }] }),
    isDirect: false,
  });
  core.propose('job', testJob('j', [testItem('a')], { minimumVersion: 3 }));
  const id = itemIdOf('j', 'a');
  const { start } = core.world.runs.get(id)!;

  core.world.runFacts.append({ kind: 'whole', item: id, start, text: ['x'], versions: [2] });
  core.runFor(200);

  t.is(core.world.runs.get(id)?.events, 0);
  t.is(core.world.jobs.get('j' as never)?.listed, 0);
});

test('a complete text is listed once, and a late fact of its run has no effect', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  core.world.arrivedRegistrations.append({ registration: testEngine('e1'), isDirect: false });
  core.propose('job', testJob('j', [testItem('a')]));
  const id = itemIdOf('j', 'a');
  const { start } = core.world.runs.get(id)!;
  const wholeFact = { kind: 'whole', item: id, start, text: ['x'], versions: [1] } as const;

  core.world.runFacts.append(wholeFact);
  core.settle();
  core.world.runFacts.append({ ...wholeFact, text: ['other'] });
  core.settle();

  t.is(core.world.jobs.get('j' as never)?.listed, 1);
  t.is(core.world.jobResults.get('j/0' as never)?.text, 'x');
});

test('ending a job removes its runs', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  core.world.arrivedRegistrations.append({ registration: testEngine('e1'), isDirect: false });
  core.propose('job', testJob('j', [testItem('a'), testItem('b')]));
  t.is(core.world.runs.size(), 2);
  core.propose('end', { kind: 'jobEnded', job: 'j' });
  t.is(core.world.runs.size(), 0);
});

test('an item that fails as often as its route allows is listed as dead', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  core.world.arrivedRegistrations.append({ registration: testEngine('e1'), isDirect: false });
  core.propose('job', testJob('j', [testItem('a')]));
  const id = itemIdOf('j', 'a');
  const reportFailure = (): void => {
    const { start } = core.world.runs.get(id)!;
    core.world.runFacts.append({ kind: 'failed', item: id, start });
    core.runFor(200);
  };
  reportFailure();
  reportFailure();
  t.is(core.world.jobs.get('j' as never)?.listed, 0);
  reportFailure();
  t.is(core.world.jobResults.get('j/0' as never)?.result, ItemResult.Dead);
});

test('the scoring request of an ended job is cancelled', (t) => {
  const core = createFleetCore();
  const scorer = { requestId: 's', host: 'yard.example', path: '/score/a', body: new Uint8Array() };
  core.propose('declare', testDeclarationCommand());
  core.world.arrivedRegistrations.append({ registration: testEngine('e1'), isDirect: false });
  core.world.arrivedRegistrations.append({
    registration: testEngine('e2', { service: 'yard-app', models: [] }),
    isDirect: false,
  });
  core.propose('job', testJob('j', [{ ...testItem('a'), scorer }]));
  const id = itemIdOf('j', 'a');
  const { start } = core.world.runs.get(id)!;
  core.world.runFacts.append({ kind: 'whole', item: id, start, text: ['x'], versions: [1] });
  core.settle();
  const call = core.world.runs.get(id)!.call!;
  t.is(core.world.calls.get(call)?.state, CallState.Running);

  core.propose('end', { kind: 'jobEnded', job: 'j' });
  t.is(core.world.calls.get(call)?.state, CallState.Cancelled);
});

test('a run under a new lease continues the saved partial text', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  core.world.arrivedRegistrations.append({ registration: testEngine('e1'), isDirect: false });
  core.propose('job', testJob('j', [testItem('a')]));
  const id = itemIdOf('j', 'a');
  const reportProgress = (...text: string[]): void => {
    const { start } = core.world.runs.get(id)!;
    core.world.runFacts.append({ kind: 'progress', item: id, start, text, versions: [1] });
    core.settle();
  };
  reportProgress('x');
  core.runFor(1_300);
  reportProgress('y', 'two\nlines');
  core.runFor(1_300);
  reportProgress('z');
  t.deepEqual(core.world.jobItems.get(id)?.saved, {
    events: 4,
    text: 'x\ny\ntwo\nlines\nz',
    versions: [1],
    softwareVersion: 'v1',
  });

  core.world.runs.remove(id);
  core.propose('other', testJob('k', []));
  core.world.jobs.change('j' as never, {});
  core.settle();
  t.is(core.world.runs.get(id)?.events, 4);
  t.is(core.world.runs.get(id)?.text, 'x\ny\ntwo\nlines\nz');
});

test('an ended job is removed after its retention time, and an open one is kept', (t) => {
  const core = createFleetCore({ jobRetentionMilliseconds: 20_000 });
  core.propose('declare', testDeclarationCommand());
  core.propose('ended', testJob('j', [testItem('a')]));
  core.propose('open', testJob('k', [testItem('a')]));
  core.propose('end', { kind: 'jobEnded', job: 'j' });
  core.runFor(15_000);
  core.propose('first', testJob('l', []));
  t.true(core.world.jobs.has('j' as never));
  core.runFor(20_000);
  core.propose('second', testJob('m', []));
  core.settle();
  t.false(core.world.jobs.has('j' as never));
  t.is(core.world.jobItems.where('job', 'j').length, 0);
  t.true(core.world.jobs.has('k' as never));
});

test('an item whose connections keep breaking is not delayed like one with odd answers', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  core.world.arrivedRegistrations.append({ registration: testEngine('e1'), isDirect: false });
  core.propose('job', testJob('j', [testItem('a')]));
  const id = itemIdOf('j', 'a');
  Array.from({ length: 8 }, () => {
    const { start, state } = core.world.runs.get(id)!;
    core.world.runFacts.append({
      kind: 'broken',
      item: id,
      start,
      text: [],
      versions: [],
      reason: 'reset',
    });
    core.runFor(100);
    return t.is(state, RunState.Running, `start ${start}`);
  });
});

test('only starts in a row without an event confirm a text without a marked end', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  core.world.arrivedRegistrations.append({ registration: testEngine('e1'), isDirect: false });
  core.propose('job', testJob('j', [testItem('a')]));
  const id = itemIdOf('j', 'a');
  const end = (kind: 'unconfirmed' | 'broken', text: readonly string[]): void => {
    const { start } = core.world.runs.get(id)!;
    const versions = text.length > 0 ? [1] : [];
    core.world.runFacts.append({ kind, item: id, start, text, versions, reason: 'reset' });
    core.runFor(200);
  };
  end('unconfirmed', ['x']);
  end('unconfirmed', []);
  end('unconfirmed', []);
  end('broken', ['y']);
  end('unconfirmed', []);
  t.is(core.world.runs.get(id)?.state, RunState.Running, 'one start without an event since');
  t.is(core.world.jobItems.get(id)?.isListed, false);
});

test('a clock that was set back on the leader does not lengthen the lifetime of items', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  const submittedAt = core.now() + 2_000;
  core.propose('job', testJob('late', [testItem('a')], { submittedAt }));
  const { lifetimeDeadline } = core.world.runs.get(itemIdOf('late', 'a'))!;
  t.is(lifetimeDeadline, core.now() + 12_000);
});
