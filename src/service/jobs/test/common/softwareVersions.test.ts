import test from 'ava';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import { EventKind } from '../../../events/common/eventKind.js';
import type { Registration } from '../../../registry/common/registryTables.js';
import { itemIdOf, type RunRow } from '../../common/jobTables.js';

const runOf = (core: FleetCore, item = 'a', job = 'j'): RunRow =>
  core.world.runs.get(itemIdOf(job, item))!;

const reportEngine = (
  core: FleetCore,
  engine: string,
  softwareVersion: string | null,
  columns: Partial<Registration> = {},
): void => {
  core.world.arrivedRegistrations.append({
    registration: testEngine(engine, { softwareVersion, sequence: core.now(), ...columns }),
    isDirect: false,
  });
  core.settle();
};

const reportBroken = (core: FleetCore, text: readonly string[]): void => {
  const { id, start } = runOf(core);
  core.world.runFacts.append({
    kind: 'broken',
    item: id,
    start,
    text,
    versions: [1],
    reason: 'reset',
  });
  core.settle();
};

test('log lines of a run name the software version of each of its engines', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  reportEngine(core, 'e1', 'v7');
  core.propose('job', testJob('j', [testItem('a')]));
  reportBroken(core, ['x']);
  const versions = core.world.events
    .takeAll()
    .filter(({ kind }) => kind === EventKind.RunStarted || kind === EventKind.RunBroken)
    .map(({ kind, subject }) => [kind, subject.upstream, subject.softwareVersion]);
  t.deepEqual(versions.slice(0, 2), [
    [EventKind.RunStarted, 'e1', 'v7'],
    [EventKind.RunBroken, 'e1', 'v7'],
  ]);
});
