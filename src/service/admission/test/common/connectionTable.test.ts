/**
 * The bound of connections, and which of them give way.
 */
import test from 'ava';
import {
  ConnectionState,
  createConnectionTable,
  type ConnectionEntry,
} from '../../common/connectionTable.js';

const openTable = (states: readonly ConnectionState[]) => {
  const table = createConnectionTable(states.length);
  const closed: number[] = [];
  const entries: ConnectionEntry[] = states.map((state, number) => {
    const entry = table.add(() => closed.push(number), number)!;
    if (state !== ConnectionState.Silent) entry.setState(state, number);
    return entry;
  });
  return { table, closed, entries };
};

const { Silent, Arriving, Running, Unread, Idle } = ConnectionState;

test('silent connections give way first, then slow requests, unread answers and idle ones', (t) => {
  const { table, closed } = openTable([Idle, Unread, Running, Arriving, Silent, Silent]);
  for (let added = 0; added < 5; added += 1) {
    const entry = table.add(() => {}, 10_000);
    entry?.setState(Running, 10_000);
  }
  t.deepEqual(closed, [4, 5, 3, 1, 0]);
  t.is(table.size(), 6);
});

test('a connection whose request runs is kept, and a new one is refused', (t) => {
  const { table, closed } = openTable([Running, Running]);
  t.is(
    table.add(() => {}, 1_000_000),
    undefined,
  );
  t.deepEqual(closed, []);
});

test('a connection that has just been opened is not closed for the next one', (t) => {
  const { table, closed } = openTable([Silent, Arriving, Unread]);
  t.is(
    table.add(() => {}, 900),
    undefined,
  );
  t.not(
    table.add(() => {}, 1_000),
    undefined,
  );
  t.deepEqual(closed, [0]);
});

test('a connection that is closed leaves room', (t) => {
  const { table, entries, closed } = openTable([Running]);
  entries[0]!.remove();
  t.not(
    table.add(() => {}, 1),
    undefined,
  );
  t.deepEqual(closed, []);
});
