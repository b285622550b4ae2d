import test from 'ava';
import type {
  EventSubject,
  TimelineEvent,
} from '../../../../infrastructure/timeline/common/timelineEvent.js';
import { EventKind } from '../../../events/common/eventKind.js';
import { CallRefusalKind } from '../../../forwarding/common/callRefusal.js';
import { explainLog } from '../../common/explainLog.js';

const createEvent = (
  wall: number,
  kind: string,
  subject: EventSubject,
  process: string,
): TimelineEvent => ({ stamp: { wall, counter: 0 }, process, kind, subject });

const refusal = {
  request: 'refused',
  refusal: CallRefusalKind.Quarantined,
  tookMilliseconds: 0,
  fingerprint: 'yard|content',
};
const end = (request: string, upstream: string, fingerprint: string): EventSubject => ({
  request,
  upstream,
  fingerprint,
  startedAt: 1,
  evidence: 'connectionRefused',
  afterMilliseconds: 52,
});

test('the explanation of a quarantined call names the process ends under the same content', (t) => {
  const lines = explainLog(
    [
      createEvent(1, EventKind.ProcessEndRecorded, end('first', 'w1', 'yard|content'), 'd1'),
      createEvent(2, EventKind.ProcessEndRecorded, end('beside', 'w1', 'yard|other'), 'd1'),
      createEvent(3, EventKind.ProcessEndRecorded, end('second', 'w2', 'yard|content'), 'd2'),
      createEvent(4, EventKind.CallRefused, refusal, 'd3'),
    ],
    'refused',
  )!;
  const text = lines.join('\n');
  t.true(text.includes('w1 ended under request first, as d1 saw (connectionRefused, 52 ms'));
  t.true(text.includes('w2 ended under request second, as d2 saw'));
  t.false(text.includes('beside'));
});

test('an explanation without the logs of the other daemons says so', (t) => {
  const lines = explainLog([createEvent(4, EventKind.CallRefused, refusal, 'd3')], 'refused')!;
  t.true(lines.some((line) => line.includes('read the logs of the other daemons')));
});
