/** Indices match the rows; deadlines and changes are reported once per row. */
import test from 'ava';
import { asBrand, type Brand } from '../../../../base/common/brand.js';
import { never } from '../../../../base/common/time.js';
import { createTable } from '../../common/table.js';
import { createTicker } from '../../common/tick.js';

type LampId = Brand<'lamp'>;
interface LampRow {
  readonly id: LampId;
  readonly room: string;
  readonly offDeadline: number;
}

const lampId = (value: string): LampId => asBrand(value);

const createLamps = () =>
  createTable<LampRow, 'room', 'off'>({
    name: 'lamps',
    indices: { room: (row) => row.room },
    deadlines: { off: (row) => row.offDeadline },
  });

test('an index is updated when a row changes its value and when it is removed', (t) => {
  const lamps = createLamps();
  lamps.put({ id: lampId('a'), room: 'hall', offDeadline: never });
  lamps.change(lampId('a'), { room: 'attic' });
  t.is(lamps.count('room', 'hall'), 0);
  t.deepEqual(
    lamps.where('room', 'attic').map((row) => row.id),
    [lampId('a')],
  );
  lamps.remove(lampId('a'));
  t.deepEqual([...lamps.values('room')], []);
});

test('a deadline is reported once, and once more after it has changed', (t) => {
  const lamps = createLamps();
  lamps.put({ id: lampId('a'), room: 'hall', offDeadline: 10 });
  t.deepEqual(lamps.takeDue('off', 9), []);
  t.is(lamps.takeDue('off', 10).length, 1);
  t.is(lamps.takeDue('off', 11).length, 0);
  lamps.change(lampId('a'), { offDeadline: 12 });
  t.is(lamps.earliestDeadline(), 12);
  t.is(lamps.takeDue('off', 12).length, 1);
});

test('a postponed deadline is not reported at its previous time', (t) => {
  const lamps = createLamps();
  lamps.put({ id: lampId('a'), room: 'hall', offDeadline: 10 });
  lamps.change(lampId('a'), { offDeadline: 20 });
  t.deepEqual(lamps.takeDue('off', 10), []);
  t.is(lamps.takeDue('off', 20).length, 1);
});

test('a change reader returns each changed row once', (t) => {
  const lamps = createLamps();
  const first = lamps.createChangeReader();
  lamps.put({ id: lampId('a'), room: 'hall', offDeadline: never });
  lamps.change(lampId('a'), { room: 'attic' });
  t.deepEqual(first.take(), [lampId('a')]);
  t.true(first.isEmpty());
  t.false(lamps.hasUnreadChanges());
});

test('a tick repeats its systems until no change is unread, and reports a cycle as an error', (t) => {
  const lamps = createLamps();
  const changes = lamps.createChangeReader();
  lamps.put({ id: lampId('a'), room: 'hall', offDeadline: never });
  const toggle = {
    name: 'toggle',
    run: () =>
      changes.take().forEach((id) => {
        const room = lamps.get(id)?.room === 'hall' ? 'attic' : 'hall';
        lamps.change(id, { room });
      }),
  };
  const outcome = createTicker([lamps], [toggle]).tick(0);
  t.is(outcome._unsafeUnwrapErr().kind, 'tickNotSettled');
  t.regex(outcome._unsafeUnwrapErr().message, /lamps/);
});
