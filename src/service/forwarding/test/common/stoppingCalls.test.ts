/**
 * Calls on a daemon that stops: each one that was taken gets its final answer before the process ends,
 * and one that might not end in time is refused as not run.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclaration,
  testDeclarationCommand,
  testEngine,
} from '../../../../../standins/virtual/fleetFixture.js';
import { RouteKind } from '../../../declaration/common/declaration.js';
import { CallRefusalKind } from '../../common/callRefusal.js';
import { CallState, type CallId, type CallRow } from '../../common/forwardingTables.js';

const timeoutMilliseconds = 3_000;

const createCore = (kind: RouteKind = RouteKind.NonIdempotent): FleetCore => {
  const core = createFleetCore();
  const declaration = testDeclaration();
  const routes = declaration.routes.map((route) =>
    route.name === 'book' ? { ...route, kind, timeoutMilliseconds } : route,
  );
  core.propose('declare', {
    ...testDeclarationCommand(),
    declaration: { ...declaration, routes },
  });
  core.world.arrivedRegistrations.append({
    registration: testEngine('e1', { service: 'yard-app', models: [], slots: 8 }),
    isDirect: false,
  });
  core.settle();
  return core;
};

const arrive = (core: FleetCore, id: string, remaining: number | null = null): void => {
  core.world.arrivedCalls.append({
    id: asBrand<CallId>(id),
    requestId: id,
    host: 'yard.example',
    path: '/book/slot',
    key: 'key-1',
    digest: id,
    remaining,
    isInternal: false,
    urgency: [],
    takesUp: null,
  });
  core.settle();
};

const callOf = (core: FleetCore, id: string): CallRow => core.world.calls.get(asBrand<CallId>(id))!;

const stop = (core: FleetCore, graceMilliseconds: number): void => {
  core.world.setLeaving();
  core.world.setStopDeadline(core.now() + graceMilliseconds);
  core.settle();
};

[RouteKind.NonIdempotent, RouteKind.Idempotent].forEach((kind) =>
  test(`LOST: calls (${kind}) that run at the end of the grace get a final answer before it`, (t) => {
    const core = createCore(kind);
    arrive(core, 'before');
    stop(core, 1_000);
    arrive(core, 'during');
    t.is(callOf(core, 'before').state, CallState.Running);
    t.is(callOf(core, 'during').state, CallState.Running);
    core.runFor(1_000);
    t.is(callOf(core, 'before').refusal?.kind, CallRefusalKind.AnswerLate);
    t.is(callOf(core, 'during').refusal?.kind, CallRefusalKind.AnswerLate);
    t.false(callOf(core, 'during').refusal!.isNotRun);
  }),
);

test('LOST: a late call that might outlast the grace is refused at once as not run', (t) => {
  const core = createCore();
  stop(core, 2_000);
  core.world.setRefusingNewRequests();
  arrive(core, 'long');
  const { refusal } = callOf(core, 'long');
  t.is(refusal?.kind, CallRefusalKind.Leaving);
  t.true(refusal!.isNotRun);
  t.is(core.world.sends.where('call', 'long').length, 0);
});

test('a late call that ends within the grace is served', (t) => {
  const core = createCore();
  stop(core, 2_000);
  core.world.setRefusingNewRequests();
  arrive(core, 'short', 1_000);
  t.is(callOf(core, 'short').state, CallState.Running);
});

test('a call that arrives after the last moment for answers is refused as not run', (t) => {
  const core = createCore();
  stop(core, 100);
  core.runFor(100);
  arrive(core, 'late', 50);
  t.is(callOf(core, 'late').refusal?.kind, CallRefusalKind.Leaving);
});
