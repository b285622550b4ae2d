import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
} from '../../../../../standins/virtual/fleetFixture.js';
import { CallState, type CallId } from '../../common/forwardingTables.js';

const slots = 6;

const sendCall = (
  core: FleetCore,
  id: string,
  isInternal: boolean,
  urgency: readonly number[] = [],
): void => {
  core.world.arrivedCalls.append({
    id: asBrand<CallId>(id),
    requestId: id,
    host: 'yard.example',
    path: '/score/x',
    key: null,
    remaining: 2_000,
    digest: null,
    isInternal,
    urgency,
    takesUp: null,
  });
  core.settle();
};

const readCallState = (core: FleetCore, id: string): CallState | undefined =>
  core.world.calls.get(asBrand<CallId>(id))?.state;

test('internal calls leave the reserved slots of an upstream to calls of callers', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  core.world.arrivedRegistrations.append({
    registration: testEngine('e1', { service: 'yard-app', slots, models: [] }),
    isDirect: false,
  });
  core.settle();

  Array.from({ length: 10 }, (_, number) => sendCall(core, `own-${number}`, true));
  const running = Array.from({ length: 10 }, (_, number) =>
    readCallState(core, `own-${number}`),
  ).filter((state) => state === CallState.Running);
  t.is(running.length, 5);

  sendCall(core, 'caller', false);
  t.is(readCallState(core, 'caller'), CallState.Running);
});

test('an internal call waits until a slot is free', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  core.world.arrivedRegistrations.append({
    registration: testEngine('e1', { service: 'yard-app', slots: 1, models: [] }),
    isDirect: false,
  });
  core.settle();
  sendCall(core, 'own-1', true);
  sendCall(core, 'own-2', true);
  core.runFor(200);
  t.is(readCallState(core, 'own-2'), CallState.Waiting);

  const [send] = core.world.sends.where('call', 'own-1');
  core.world.sendFacts.append({
    kind: 'answered',
    send: send!.id,
    status: 200,
    hasFailed: false,
  });
  core.settle();
  t.is(readCallState(core, 'own-2'), CallState.Running);
});

test('a free slot goes to the call of a caller, then to the most urgent internal call', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  core.world.arrivedRegistrations.append({
    registration: testEngine('e1', { service: 'yard-app', slots: 1, models: [] }),
    isDirect: false,
  });
  core.settle();
  sendCall(core, 'running', true, [0, 0, 1]);
  sendCall(core, 'late', true, [1, 0, 1]);
  sendCall(core, 'spare', true, [0, 1, 1]);
  sendCall(core, 'urgent', true, [0, 0, 2]);
  sendCall(core, 'caller', false);

  const order = ['running', 'caller', 'urgent', 'spare', 'late'];
  order.forEach((id) => {
    t.is(readCallState(core, id), CallState.Running, id);
    const [send] = core.world.sends.where('call', id);
    core.world.sendFacts.append({
      kind: 'answered',
      send: send!.id,
      status: 200,
      hasFailed: false,
    });
    core.settle();
  });
});
