import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testEngine,
} from '../../../../../standins/virtual/fleetFixture.js';
import { EventKind } from '../../../events/common/eventKind.js';
import type { CallId } from '../../common/forwardingTables.js';

test('the lines of sends that broke show that two calls had the same content', (t) => {
  const core = createFleetCore();
  core.propose('declare', testDeclarationCommand());
  core.world.arrivedRegistrations.append({
    registration: testEngine('e1', { service: 'yard-app', models: [] }),
    isDirect: false,
  });
  core.settle();
  core.world.events.takeAll();
  ['first', 'second'].forEach((id) => {
    core.world.arrivedCalls.append({
      id: asBrand<CallId>(id),
      requestId: id,
      host: 'yard.example',
      path: '/book/slot',
      key: 'key-1',
      digest: 'content',
      remaining: 2_000,
      isInternal: false,
      urgency: [],
      takesUp: null,
    });
    core.settle();
    const send = [...core.world.sends.where('call', id)].at(-1)!;
    core.world.sendFacts.append({ kind: 'broken', send: send.id, reason: 'ECONNRESET' });
    core.settle();
  });
  const ends = core.world.events
    .takeAll()
    .filter(({ kind }) => kind === EventKind.SendEnded)
    .map(({ subject }) => [subject.request, subject.fingerprint]);
  t.deepEqual(ends, [
    ['first', 'yard|content'],
    ['second', 'yard|content'],
  ]);
});
