import test from 'ava';
import type { FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { testItem, testJob } from '../../../../../standins/virtual/fleetFixture.js';
import { itemIdOf, RunState } from '../../common/jobTables.js';
import {
  createCoreWithText,
  createDeclaredCore,
  departEngine,
  reportEngine,
  reportProgress,
  runOf,
  startsAnew,
} from './versionedFleet.js';

/** Time after which the next progress report saves more of a text. */
const saveMilliseconds = 750;

/** Lets a new leader create the run of item `a` from the replicated text. */
const changeLeader = (core: FleetCore): void => {
  core.world.runs.remove(itemIdOf('j', 'a'));
  core.world.jobs.change('j' as never, {});
  core.settle();
};

const saveText = (core: FleetCore): void => {
  core.runFor(saveMilliseconds);
  reportProgress(core, ['z']);
  core.runFor(saveMilliseconds);
  reportProgress(core, ['last']);
};

test('a new leader continues a saved text at the software version that began it', (t) => {
  const core = createCoreWithText();
  saveText(core);
  t.like(core.world.jobItems.get(itemIdOf('j', 'a'))!.saved, { events: 4, softwareVersion: 'v1' });
  reportEngine(core, 'e2', 'v2', { slots: 8 });
  changeLeader(core);
  t.like(runOf(core), { state: RunState.Running, upstream: 'e1', events: 4 });
});

test('a new leader begins a saved text anew if its software version no longer serves', (t) => {
  const core = createCoreWithText();
  saveText(core);
  reportEngine(core, 'e2', 'v2');
  departEngine(core, 'e1');
  changeLeader(core);
  t.like(runOf(core), startsAnew(core, 'e2'));
});

const resubmitItem = (core: FleetCore): void => {
  core.propose('end', { kind: 'jobEnded', job: 'j' });
  core.propose('later', testJob('later', [testItem('a')]));
  core.runFor(100);
};

test('a later job continues a saved text at the software version that began it', (t) => {
  const core = createCoreWithText();
  saveText(core);
  reportEngine(core, 'e2', 'v2', { slots: 8 });
  resubmitItem(core);
  t.like(runOf(core, 'a', 'later'), { state: RunState.Running, upstream: 'e1', events: 4 });
});

test('a later job begins a text anew if its software version no longer serves', (t) => {
  const core = createCoreWithText();
  saveText(core);
  reportEngine(core, 'e2', 'v2');
  departEngine(core, 'e1');
  resubmitItem(core);
  t.like(runOf(core, 'a', 'later'), startsAnew(core, 'e2', 'later'));
});

test('a saved text whose software version an earlier release did not record begins anew', (t) => {
  const core = createDeclaredCore();
  core.propose('job', testJob('j', [testItem('a')]));
  core.propose('saved', {
    kind: 'textsSaved',
    job: 'j',
    saved: [{ item: 'a', after: 0, events: 2, text: 'p\nq', versions: [1] }],
  });
  changeLeader(core);
  reportEngine(core, 'e1', 'v1');
  t.like(runOf(core), startsAnew(core, 'e1'));
});

test('a part that names another software version makes that of a saved text unknown', (t) => {
  const core = createDeclaredCore();
  core.propose('job', testJob('j', [testItem('a')]));
  const save = (id: string, after: number, softwareVersion: string | undefined): void =>
    core.propose(id, {
      kind: 'textsSaved',
      job: 'j',
      saved: [{ item: 'a', after, events: after + 1, text: 'p', versions: [1], softwareVersion }],
    });
  save('s0', 0, 'v1');
  save('s1', 1, 'v1');
  t.is(core.world.jobItems.get(itemIdOf('j', 'a'))!.saved?.softwareVersion, 'v1');
  save('s2', 2, undefined);
  t.is(core.world.jobItems.get(itemIdOf('j', 'a'))!.saved?.softwareVersion, undefined);
  save('s3', 3, 'v1');
  t.like(core.world.jobItems.get(itemIdOf('j', 'a'))!.saved, {
    events: 4,
    softwareVersion: undefined,
  });
});
