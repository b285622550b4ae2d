/** Texts that exceed what their item can have: nothing of them is continued, also by a new leader. */
import test from 'ava';
import { testItem, testJob } from '../../../../../standins/virtual/fleetFixture.js';
import { itemIdOf, RunState } from '../../common/jobTables.js';
import {
  createCoreWithText,
  createDeclaredCore,
  reportEngine,
  reportFact,
  reportProgress,
  runOf,
} from './versionedFleet.js';

/** Time after which the next progress report saves more of a text. */
const saveMilliseconds = 750;

test('MIXED: a text of an excessive answer is discarded, and its saved part with it', (t) => {
  const core = createCoreWithText();
  core.runFor(saveMilliseconds);
  reportProgress(core, ['z']);
  core.runFor(saveMilliseconds);
  reportProgress(core, ['last']);
  const { jobItems, registrations } = core.world;
  t.is(jobItems.get(itemIdOf('j', 'a'))!.saved?.events, 4);
  reportEngine(core, 'e2', 'v1');
  reportFact(core, { kind: 'excessive', reason: 'too many events' });
  t.is(jobItems.get(itemIdOf('j', 'a'))!.saved, null);
  t.true([...registrations.rows()].find(({ id }) => id === 'e1')!.avoidDeadline > core.now());
  core.runFor(saveMilliseconds);
  t.like(runOf(core), { state: RunState.Running, upstream: 'e2', events: 0, text: '' });
});

test('an engine that sends nothing but excessive answers is asked at growing intervals', (t) => {
  const core = createCoreWithText();
  const starts: number[] = [];
  for (let answer = 0; answer < 8; answer += 1) {
    while (runOf(core).state !== RunState.Running) core.runFor(50);
    starts.push(core.now());
    reportFact(core, { kind: 'excessive', reason: 'too many events' });
  }
  t.true(starts.at(-1)! - starts.at(-2)! >= 1_000, starts.join());
});

test('a saved text with more events than its item can have is not continued', (t) => {
  const core = createDeclaredCore();
  core.propose('job', testJob('j', [{ ...testItem('a'), maximumOutputTokens: 2 }]));
  core.propose('saved', {
    kind: 'textsSaved',
    job: 'j',
    saved: [
      { item: 'a', after: 0, events: 3, text: 'p\nq\nr', versions: [1], softwareVersion: 'v1' },
    ],
  });
  core.world.runs.remove(itemIdOf('j', 'a'));
  core.world.jobs.change('j' as never, {});
  core.settle();
  t.is(runOf(core).events, 0);
  core.propose('end', { kind: 'jobEnded', job: 'j' });
  core.propose('later', testJob('later', [{ ...testItem('a'), maximumOutputTokens: 2 }]));
  t.is(runOf(core, 'a', 'later').events, 0);
});
