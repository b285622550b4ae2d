import test from 'ava';
import { budgetBytesPerSecond, createEventBudget } from '../../common/eventBudget.js';
import { EventKind, type RecordedEvent } from '../../common/eventKind.js';

const lineBytes = 200;

const createEvent = (request: number): RecordedEvent => ({
  kind: EventKind.CallRefused,
  subject: { request: `request-${request}` },
});

/** Lists which of `count` simultaneous requests are written. */
const listWrittenRequests = (count: number): number[] => {
  const budget = createEventBudget(0);
  return Array.from({ length: count }, (_, request) => request).filter((request) =>
    budget.admits(createEvent(request), lineBytes, 0),
  );
};

test('all events are written while the load is below the budget', (t) => {
  const budget = createEventBudget(0);
  const perSecond = Math.floor(budgetBytesPerSecond / lineBytes);
  for (let second = 0; second < 60; second += 1) {
    for (let request = 0; request < perSecond; request += 1) {
      t.true(budget.admits(createEvent(request), lineBytes, second * 1_000));
    }
  }
  t.is(budget.takeDropped(), 0);
});

test('during a long overload, the written bytes do not exceed the budget plus its burst', (t) => {
  const budget = createEventBudget(0);
  const seconds = 60;
  let bytes = 0;
  let eventCount = 0;
  for (let second = 0; second < seconds; second += 1) {
    for (let request = 0; request < 10_000; request += 1) {
      eventCount += 1;
      if (budget.admits(createEvent(request), lineBytes, second * 1_000)) bytes += lineBytes;
    }
  }
  t.true(bytes <= (seconds + 8) * budgetBytesPerSecond, `${bytes}`);
  t.is(budget.takeDropped(), eventCount - bytes / lineBytes);
});

test('processes with a low budget sample the same requests', (t) => {
  const writtenOfFewer = listWrittenRequests(1_200);
  const writtenOfMore = listWrittenRequests(1_500);
  t.true(writtenOfFewer.length < 1_200);
  t.deepEqual(
    writtenOfFewer,
    writtenOfMore.filter((request) => request < 1_200),
  );
});

test('events that do not concern single requests are written without budget', (t) => {
  const budget = createEventBudget(0);
  while (budget.admits(createEvent(0), budgetBytesPerSecond, 0));
  t.true(budget.admits({ kind: EventKind.LeadershipLost, subject: {} }, lineBytes, 0));
});

test('a log that is compacted all the time, or a snapshot that is refused again and again, fills the log', (t) => {
  const budget = createEventBudget(0);
  const countWritten = (kind: EventKind): number =>
    Array.from({ length: 1_000 }, (_, position) => position * 10).filter((at) =>
      budget.admits({ kind, subject: {} }, lineBytes, at),
    ).length;
  t.is(countWritten(EventKind.SnapshotTaken), 10, 'one a second');
  t.is(countWritten(EventKind.SnapshotRefused), 2, 'one each 5 s');
  t.is(countWritten(EventKind.SnapshotInstalled), 1_000, 'each one is progress');
  t.is(budget.takeDropped(), 0, 'they are counted by their own metrics');
});
