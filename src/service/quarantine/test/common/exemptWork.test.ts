/**
 * Guards against the loss of work that is owed: items of jobs and scoring calls are never
 * quarantined, whatever ended under them.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import { CallState, type CallId } from '../../../forwarding/common/forwardingTables.js';
import { itemIdOf, RunState } from '../../../jobs/common/jobTables.js';
import type { UpstreamId } from '../../../world/common/identifiers.js';
import { AddressState } from '../../common/quarantineTables.js';

/** More process ends than the calls of callers may cause. */
const ends = 6;

const register = (core: FleetCore, upstream: string, service: string): void => {
  core.world.arrivedRegistrations.append({
    registration: testEngine(upstream, { service }),
    isDirect: false,
  });
  core.settle();
};

/** Ends the process of an upstream: nothing listens at its address any more. */
const endProcess = (core: FleetCore, upstream: UpstreamId): void => {
  const { address } = core.world.registrations.get(upstream)!;
  core.world.registrations.remove(upstream);
  core.world.addressFacts.append({ address, state: AddressState.Refusing });
  core.settle();
};

test('an item under which many processes ended still runs', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  const id = itemIdOf('j', 'a');
  core.propose('job', testJob('j', [testItem('a')]));
  for (let count = 1; count <= ends; count += 1) {
    register(core, `e${count}`, 'planner');
    core.runFor(200);
    const run = core.world.runs.get(id)!;
    t.is(run.state, RunState.Running);
    core.world.runFacts.append({
      kind: 'broken',
      item: id,
      start: run.start,
      text: [],
      versions: [],
      reason: 'ECONNRESET',
    });
    core.settle();
    endProcess(core, run.upstream!);
  }
  t.is(core.world.suspicions.size(), 0);
  t.is(core.world.crashRecords.size(), 0);
  register(core, 'e99', 'planner');
  core.runFor(200);
  t.is(core.world.runs.get(id)?.state, RunState.Running);
});

test('a scoring call under which many processes ended is sent again', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  const sendCall = (id: string): void => {
    core.world.arrivedCalls.append({
      id: asBrand<CallId>(id),
      requestId: 'scorer',
      host: 'yard.example',
      path: '/score/x',
      key: null,
      digest: null,
      remaining: null,
      isInternal: true,
      urgency: [],
      takesUp: null,
    });
    core.settle();
  };
  for (let count = 1; count <= ends; count += 1) {
    register(core, `e${count}`, 'yard-app');
    sendCall(`score-${count}`);
    const [send] = core.world.sends.where('call', `score-${count}`);
    t.truthy(send);
    core.world.sendFacts.append({ kind: 'broken', send: send!.id, reason: 'ECONNRESET' });
    core.settle();
    endProcess(core, send!.upstream);
  }
  t.is(core.world.suspicions.size(), 0);
  t.is(core.world.crashRecords.size(), 0);
  register(core, 'e99', 'yard-app');
  sendCall('score-last');
  t.is(core.world.calls.get(asBrand<CallId>('score-last'))?.state, CallState.Running);
});
