/**
 * Weight versions of events as an upstream may write them. A version that is no whole number must
 * not reach a result: the log entry with it could not be read by any other daemon, nor by this one
 * after a restart.
 */
import test from 'ava';
import { itemsListedSchema } from '../../../../service/jobs/common/jobCommands.js';
import { createTextEventReader } from '../../node/textEventReader.js';

const field = 'x-version';

const options = {
  previousEventCount: 0,
  maximumEventCount: 100,
  initialVersion: 1,
  weightVersionField: field,
};

const eventOf = (id: number, version?: string): string =>
  `${version === undefined ? '' : `${field}: ${version}\n`}id: ${id}\ndata: text ${id}\n\n`;

const readEvents = (...events: readonly string[]) => {
  const reader = createTextEventReader(options);
  events.forEach((event) => reader.push(Buffer.from(event)));
  return { ...reader.take(), isInOrder: reader.isInOrder() };
};

test('a version of an event holds from that event on', (t) => {
  t.deepEqual(readEvents(eventOf(1), eventOf(2, '2'), eventOf(3)), {
    text: ['text 1', 'text 2', 'text 3'],
    versions: [1, 2],
    isInOrder: true,
  });
});

['1e999', '-1', '0.5', 'x', '', '1e308', '99999999999999999999', '0x10'].forEach((version) =>
  test(`a text ends before an event with the version "${version}"`, (t) => {
    const { text, versions, isInOrder } = readEvents(eventOf(1), eventOf(2, version), eventOf(3));
    t.deepEqual(text, ['text 1']);
    t.deepEqual(versions, [1]);
    t.false(isInOrder);
    const results = [{ item: 'i1', result: 'completed', text: '', versions, score: null }];
    t.true(itemsListedSchema.safeParse({ kind: 'itemsListed', job: 'j1', results }).success);
  }),
);

['\n', '\r\n', '\r'].forEach((lineEnd) =>
  test(`a text is between events only after a blank line (${JSON.stringify(lineEnd)})`, (t) => {
    const reader = createTextEventReader(options);
    reader.push(Buffer.from(`id: 1${lineEnd}data: text${lineEnd}`));
    t.false(reader.isBetweenEvents(), 'the event is not ended yet');
    reader.push(Buffer.from(lineEnd));
    t.true(reader.isBetweenEvents());
  }),
);
