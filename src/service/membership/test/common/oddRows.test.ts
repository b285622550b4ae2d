/**
 * A row that cannot be read, inside a heartbeat or a list between daemons, must not take the rest
 * of the message with it: the receiver would stop following the sender.
 */
import test from 'ava';
import { testEngine } from '../../../../../standins/virtual/fleetFixture.js';
import { messageSchema } from '../../../messages/common/message.js';

const soundEngine = testEngine('e1');
const oddRows = [
  null,
  7,
  [],
  { ...soundEngine, upstream: '' },
  { ...soundEngine, slots: 0.5 },
  { ...soundEngine, state: 'gone' },
  { ...soundEngine, models: [{ name: 'm0', version: 1e308 }] },
];

const member = {
  name: 'd1',
  zone: 'z1',
  region: 'r1',
  roles: ['entry'],
  callerAddress: '127.0.0.1:1',
  peerAddress: '127.0.0.1:2',
};

const heartbeat = {
  kind: 'heartbeat',
  incarnation: 1,
  load: 0,
  leaving: false,
  revision: 0,
  isFresh: true,
};

test('a heartbeat keeps its sound reports and departures', (t) => {
  const parsed = messageSchema.safeParse({
    ...heartbeat,
    reports: [...oddRows, soundEngine],
    departures: [{ upstream: 'e2' }, { upstream: 'e3', startedAt: 5 }],
  });
  t.like(parsed.data, {
    kind: 'heartbeat',
    reports: [soundEngine],
    departures: [{ upstream: 'e3', startedAt: 5 }],
  });
});

test('lists keep their sound rows', (t) => {
  const parsed = messageSchema.safeParse({
    ...heartbeat,
    lists: {
      version: 3,
      controlDaemons: [member, { ...member, roles: ['none'] }],
      entries: [{ ...member, zone: 1 }, member],
      registrations: [soundEngine, ...oddRows],
    },
  });
  t.like(parsed.data, {
    lists: { version: 3, controlDaemons: [member], registrations: [soundEngine] },
  });
  const { lists } = parsed.data as { lists: { entries: unknown[]; registrations: unknown[] } };
  t.is(lists.entries.length, 1);
  t.is(lists.registrations.length, 1);
});

test('a heartbeat whose list is no list is rejected', (t) => {
  t.false(messageSchema.safeParse({ ...heartbeat, reports: {} }).success);
});
