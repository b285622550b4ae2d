import test from 'ava';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import { ItemResult } from '../../common/jobCommands.js';
import { itemIdOf, RunState, type RunRow } from '../../common/jobTables.js';

const createCore = (): FleetCore => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  return core;
};

const runOf = (core: FleetCore, job: string, item: string): RunRow | undefined =>
  core.world.runs.get(itemIdOf(job, item));

/** Submits and ends a job in which one item is complete and another one has a partial text. */
const submitAndEndFirstJob = (core: FleetCore, version: number): void => {
  core.propose('first', testJob('first', [testItem('whole'), testItem('begun')]));
  core.propose('listed', {
    kind: 'itemsListed',
    job: 'first',
    results: [
      {
        item: 'whole',
        result: ItemResult.Completed,
        text: 'x\ny',
        versions: [version],
        score: null,
      },
    ],
  });
  core.propose('saved', {
    kind: 'textsSaved',
    job: 'first',
    saved: [
      {
        item: 'begun',
        after: 0,
        events: 2,
        text: 'p\nq',
        versions: [version],
        softwareVersion: 'v1',
      },
    ],
  });
  core.propose('end', { kind: 'jobEnded', job: 'first' });
};

const resubmitItems = (core: FleetCore, minimumVersion: number): void =>
  core.propose(
    'second',
    testJob('second', [testItem('whole'), testItem('begun'), testItem('new')], { minimumVersion }),
  );

test('a resubmitted item continues the partial text of an earlier job', (t) => {
  const core = createCore();
  submitAndEndFirstJob(core, 2);
  resubmitItems(core, 2);
  t.like(runOf(core, 'second', 'begun'), {
    events: 2,
    text: 'p\nq',
    versions: [2],
    savedEvents: 0,
  });
  t.like(runOf(core, 'second', 'new'), { events: 0, text: '' });
});

test('a complete text of an earlier job is listed without another run', (t) => {
  const core = createCore();
  submitAndEndFirstJob(core, 2);
  resubmitItems(core, 2);
  const [result] = core.world.jobResults.where('job', 'second');
  t.like(result, { item: 'whole', result: ItemResult.Completed, text: 'x\ny', versions: [2] });
});

test('texts of versions that the later job does not allow are not reused', (t) => {
  const core = createCore();
  submitAndEndFirstJob(core, 1);
  resubmitItems(core, 2);
  t.like(runOf(core, 'second', 'begun'), { events: 0, text: '' });
  t.like(runOf(core, 'second', 'whole'), { state: RunState.Waiting, text: '' });
});

test('the text of an item is not reused in another workspace', (t) => {
  const core = createCore();
  submitAndEndFirstJob(core, 2);
  core.propose('other', testJob('other', [testItem('begun')], { workspace: 'depot' }));
  t.like(runOf(core, 'other', 'begun'), { events: 0, text: '' });
});

test('a text continued from an earlier job is saved completely for a new leader', (t) => {
  const core = createCore();
  submitAndEndFirstJob(core, 2);
  resubmitItems(core, 2);
  core.world.arrivedRegistrations.append({
    registration: testEngine('e1', { models: [{ name: 'm0', version: 2 }] }),
    isDirect: false,
  });
  core.settle();
  const { id } = runOf(core, 'second', 'begun')!;
  core.runFor(1_300);
  core.world.runFacts.append({
    kind: 'progress',
    item: id,
    start: runOf(core, 'second', 'begun')!.start,
    text: ['r'],
    versions: [2],
  });
  core.settle();
  t.deepEqual(core.world.jobItems.get(id)?.saved, {
    events: 3,
    text: 'p\nq\nr',
    versions: [2],
    softwareVersion: 'v1',
  });
});

test('spare groups are those with the longest items, and they start last', (t) => {
  const core = createCore();
  const item = (name: string, group: string, expectedTokens: number) => ({
    ...testItem(name, group),
    expectedTokens,
  });
  core.propose('first', testJob('first', [item('again', 'g0', 900)], { groupCount: 1 }));
  core.propose('end', { kind: 'jobEnded', job: 'first' });
  core.propose(
    'second',
    testJob(
      'second',
      [
        item('again', 'g0', 900),
        item('a', 'g1', 500),
        item('b', 'g1', 10),
        item('c', 'g2', 300),
        item('d', 'g3', 200),
      ],
      { groupCount: 3 },
    ),
  );
  const spareRuns = core.world.runs.where('job', 'second').filter(({ isSpare }) => isSpare);
  t.deepEqual([...new Set(spareRuns.map(({ group }) => group))], ['g1']);

  core.world.arrivedRegistrations.append({
    registration: testEngine('e1', { slots: 3 }),
    isDirect: false,
  });
  core.settle();
  const running = core.world.runs.where('state', RunState.Running).map(({ group }) => group);
  t.deepEqual(running.sort(), ['g0', 'g2', 'g3']);
});
