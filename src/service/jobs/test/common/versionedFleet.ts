/**
 * A fleet of engines of several software versions, with one item `a` of a job `j`, for tests of
 * where its text goes on.
 */
import { asBrand } from '../../../../base/common/brand.js';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import type { Registration } from '../../../registry/common/registryTables.js';
import type { UpstreamId } from '../../../world/common/identifiers.js';
import { itemIdOf, RunState, type RunFact, type RunRow } from '../../common/jobTables.js';

export const runOf = (core: FleetCore, item = 'a', job = 'j'): RunRow =>
  core.world.runs.get(itemIdOf(job, item))!;

export const engineOf = (core: FleetCore, item = 'a', job = 'j'): string =>
  String(runOf(core, item, job).upstream);

export const reportEngine = (
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

type FactColumns = RunFact extends infer Fact
  ? Fact extends RunFact
    ? Omit<Fact, 'item' | 'start'>
    : never
  : never;

export const reportFact = (core: FleetCore, fact: FactColumns, item = 'a'): void => {
  const { id, start } = runOf(core, item);
  core.world.runFacts.append({ ...fact, item: id, start });
  core.settle();
};

export const reportProgress = (core: FleetCore, text: readonly string[], item = 'a'): void =>
  reportFact(core, { kind: 'progress', text, versions: [1] }, item);

export const reportBroken = (core: FleetCore, text: readonly string[]): void =>
  reportFact(core, { kind: 'broken', text, versions: [1], reason: 'reset' });

/** Creates a fleet without engines. */
export const createDeclaredCore = (): FleetCore => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  return core;
};

/** Creates a fleet in which an engine `e1` of software v1 has begun the text of item `a`. */
export const createCoreWithText = (): FleetCore => {
  const core = createDeclaredCore();
  reportEngine(core, 'e1', 'v1');
  core.propose('job', testJob('j', [testItem('a')]));
  reportProgress(core, ['x', 'y']);
  return core;
};

export const departEngine = (core: FleetCore, engine: string): void => {
  core.world.arrivedDepartures.append({ upstream: engine, startedAt: 1 });
  core.settle();
};

/** Columns of a run that has begun its text anew at an engine. */
export const startsAnew = (core: FleetCore, engine: string, job = 'j') => ({
  id: itemIdOf(job, 'a'),
  state: RunState.Running,
  upstream: engine,
  events: 0,
  text: '',
  softwareVersion: core.world.registrations.get(asBrand<UpstreamId>(engine))!.softwareVersion,
});
