/** Filters, request explanations and the HTML page of the timeline. */
import test from 'ava';
import type {
  EventSubject,
  TimelineEvent,
} from '../../../../infrastructure/timeline/common/timelineEvent.js';
import { filterEvents } from '../../common/eventFilter.js';
import { explainRequest } from '../../common/explainRequest.js';
import { escapeHtml, formatTimelinePage } from '../../common/timelinePage.js';

const createEvent = (
  wall: number,
  kind: string,
  subject: EventSubject,
  process = 'd1',
): TimelineEvent => ({
  stamp: { wall, counter: 0 },
  process,
  kind,
  subject,
});

const events = [
  createEvent(1, 'settingsPublished', { revision: 4 }),
  createEvent(2, 'requestAdmitted', { request: 'request-1', sample: 'sample-1' }),
  createEvent(3, 'attemptStarted', { attempt: 'attempt-1', request: 'request-1', upstream: 'e1' }),
  createEvent(4, 'upstreamGone', { upstream: 'e1' }),
  createEvent(5, 'attemptEnded', {
    attempt: 'attempt-1',
    request: 'request-1',
    upstream: 'e1',
    outcome: 'broken',
  }),
  createEvent(6, 'requestFailed', {
    request: 'request-1',
    reason: 'upstreamFailed',
    notRun: false,
  }),
  createEvent(7, 'lateFact', { attempt: 'attempt-1', fact: 'progress' }, 'd2'),
  createEvent(8, 'requestRefused', { request: 'request-10', reason: 'withdrawnKey', notRun: true }),
];

const listWallTimes = (selected: readonly TimelineEvent[]): number[] =>
  selected.map(({ stamp }) => stamp.wall);

const cases: readonly (readonly [Parameters<typeof filterEvents>[1], readonly number[]])[] = [
  [{}, [1, 2, 3, 4, 5, 6, 7, 8]],
  [{ request: 'request-1' }, [2, 3, 5, 6, 7]],
  [{ request: 'request-10' }, [8]],
  [{ sample: 'sample-1' }, [2, 3, 5, 6, 7]],
  [{ upstream: 'e1' }, [3, 4, 5]],
  [{ revision: '4' }, [1]],
  [{ kind: 'lateFact' }, [7]],
  [{ process: 'd2' }, [7]],
  [{ about: 'withdrawn' }, [8]],
  [{ request: 'request-1', kind: 'attemptEnded' }, [5]],
  [{ request: 'no-such' }, []],
];

cases.forEach(([filter, walls]) =>
  test(`filter ${JSON.stringify(filter)}`, (t) => {
    t.deepEqual(listWallTimes(filterEvents(events, filter)), [...walls]);
  }),
);

test('a refused request is explained by its reason, remedy, and that it did not run', (t) => {
  const text = explainRequest(events, 'request-10')!.join('\n');
  t.regex(
    text,
    /^request-10 was refused on d1\.\nReason: withdrawnKey\. It did not run\.\nRemedy: /,
  );
  t.regex(text, /No attempt was made\./);
});

test('a failed request is explained by its attempts and the events shortly before', (t) => {
  const text = explainRequest(events, 'request-1')!.join('\n');
  t.regex(text, /request-1 failed on d1\./);
  t.regex(text, /It may have run\./);
  t.regex(text, /Attempt attempt-1 on e1: broken\./);
  t.regex(text, /Shortly before[^]*upstreamGone[^]*Timeline:/);
});

test('a request without events has no explanation', (t) => {
  t.is(explainRequest(events, 'request-2'), undefined);
});

test('event text is escaped in the page', (t) => {
  t.is(escapeHtml(`<b a="1" b='2'>&`), '&lt;b a=&quot;1&quot; b=&#39;2&#39;&gt;&amp;');
  const hostile = '</script><script>alert(1)</script>';
  const page = formatTimelinePage([createEvent(1, hostile, { [hostile]: hostile }, hostile)]);
  t.false(page.includes('<script>alert'));
  t.is(page.split('<script>').length, 2);
});

test('the page has 10,000 event rows, a lane per process, and no external resource', (t) => {
  const count = 10_000;
  const many = Array.from({ length: count }, (_, index) =>
    createEvent(index, 'requestAdmitted', { request: `request-${index}` }, `d${index % 7}`),
  );
  const page = formatTimelinePage(many);
  t.is(page.split('<div>').length - 1, count);
  t.is(page.split('<li>').length - 1, 7);
  t.notRegex(page, /(src|href)=|https?:|@import|url\(/);
});
