import test from 'ava';
import type { FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { testItem, testJob } from '../../../../../standins/virtual/fleetFixture.js';
import { EventKind } from '../../../events/common/eventKind.js';
import { RunState } from '../../common/jobTables.js';
import {
  createCoreWithText,
  reportBroken,
  reportEngine,
  reportFact,
  reportProgress,
  runOf,
} from './versionedFleet.js';

const reportIntervalMilliseconds = 1_000;
/** Time after which no report is under way between control daemons. */
const relayMilliseconds = 1_300;

/** Reports that an engine has started again under its identifier. */
const reportRestart = (core: FleetCore, engine: string, softwareVersion: string): void =>
  reportEngine(core, engine, softwareVersion, { startedAt: 2, sequence: 1 });

const reportWhole = (core: FleetCore, text: readonly string[]): void =>
  reportFact(core, { kind: 'whole', text, versions: [1] });

const countResults = (core: FleetCore): number => core.world.jobs.get('j' as never)!.listed;

/** Creates a fleet in which `e1` began a text that `e2`, of the same software, goes on with. */
const createCoreWithContinuedText = (): FleetCore => {
  const core = createCoreWithText();
  core.runFor(reportIntervalMilliseconds / 2);
  reportEngine(core, 'e2', 'v1');
  reportBroken(core, []);
  core.runFor(100);
  return core;
};

test('a text that an engine went on with after a restart with other software begins anew', (t) => {
  const core = createCoreWithContinuedText();
  t.like(runOf(core), { state: RunState.Running, upstream: 'e2', events: 2 });
  reportProgress(core, ['of the other version']);
  reportRestart(core, 'e2', 'v2');
  core.runFor(100);
  t.is(runOf(core).events, 0);
  t.is(runOf(core).text, '');
});

test('a text begun by an engine after a restart with other software does not go on', (t) => {
  const core = createCoreWithContinuedText();
  reportProgress(core, ['z']);
  reportRestart(core, 'e1', 'v2');
  core.runFor(100);
  t.is(runOf(core).events, 0);
});

test('a joined text is not listed before its engines have reported again', (t) => {
  const core = createCoreWithContinuedText();
  core.world.events.takeAll();
  reportWhole(core, ['of the other version']);
  t.is(countResults(core), 0);
  const held = core.world.events.takeAll().filter(({ kind }) => kind === EventKind.TextHeld);
  t.deepEqual(
    held.map(({ subject }) => subject.engines),
    ['e1,e2'],
  );
  reportRestart(core, 'e2', 'v2');
  core.runFor(100);
  t.is(countResults(core), 0);
  t.is(runOf(core).events, 0);
});

test('a joined text is listed once its engines have reported the same start again', (t) => {
  const core = createCoreWithContinuedText();
  reportWhole(core, ['z']);
  // A report that arrives at once may have been made before the run was sent.
  ['e1', 'e2'].forEach((engine) => reportEngine(core, engine, 'v1'));
  t.is(countResults(core), 0);
  core.runFor(relayMilliseconds);
  reportEngine(core, 'e1', 'v1');
  t.is(countResults(core), 0);
  reportEngine(core, 'e2', 'v1');
  t.is(countResults(core), 1);
  t.is(core.world.jobResults.get('j/0' as never)?.text, 'x\ny\nz');
});

test('a joined text of an engine that never reports again is listed after a bounded time', (t) => {
  const core = createCoreWithContinuedText();
  reportWhole(core, ['z']);
  core.runFor(3_100);
  t.is(countResults(core), 1);
});

test('a restart with the same software keeps the text', (t) => {
  const core = createCoreWithContinuedText();
  reportProgress(core, ['z']);
  reportRestart(core, 'e1', 'v1');
  core.runFor(100);
  t.like(runOf(core), { state: RunState.Running, upstream: 'e2', events: 3 });
});

test('a text that one engine wrote as a whole is listed at once', (t) => {
  const core = createCoreWithText();
  reportWhole(core, ['z']);
  t.is(countResults(core), 1);
});

const reportOlderProgress = (core: FleetCore): void => {
  const { id, start } = runOf(core, 'b', 'other');
  core.world.runFacts.append({ kind: 'progress', item: id, start, text: ['x'], versions: [1] });
  core.settle();
};

/** Creates a fleet in which `e1` goes on with a text of its own, beside an older run. */
const createCoreWithOlderRun = (): FleetCore => {
  const core = createCoreWithText();
  core.propose('other', testJob('other', [testItem('b')]));
  for (let round = 0; round < 4; round += 1) {
    core.runFor(800);
    reportEngine(core, 'e1', 'v1');
    reportOlderProgress(core);
    reportProgress(core, ['y']);
  }
  reportBroken(core, []);
  core.runFor(500);
  return core;
};

test('a joined text is listed at once if an older run of its engine got text since', (t) => {
  const core = createCoreWithOlderRun();
  t.like(runOf(core), { upstream: 'e1', start: 2, events: 6 });
  reportOlderProgress(core);
  reportWhole(core, ['z']);
  t.is(countResults(core), 1);
});

test('a joined text is listed as soon as an older run of its engine gets text', (t) => {
  const core = createCoreWithOlderRun();
  reportWhole(core, ['z']);
  t.is(countResults(core), 0);
  reportOlderProgress(core);
  t.is(countResults(core), 1);
});
