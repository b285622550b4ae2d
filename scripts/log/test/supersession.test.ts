import test from 'ava';
import type { LogEntry } from '../../../src/service/consensus/common/logEntry.js';
import { weighByKind, type KindWeight } from '../supersession.js';

const bytes = 100;

const weigh = (commands: readonly object[]): Map<string, KindWeight> =>
  new Map(
    weighByKind(
      commands.map((command, position) => ({
        entry: { index: position + 1, term: 1, proposal: '', origin: '', command } as LogEntry,
        bytes,
      })),
    ).map((weight) => [weight.kind, weight]),
  );

test('all declarations but the newest are superseded, in whatever order they come', (t) => {
  const weights = weigh([5, 7, 6].map((version) => ({ kind: 'declarationSet', version })));
  t.deepEqual(weights.get('declarationSet'), {
    kind: 'declarationSet',
    count: 3,
    bytes: 3 * bytes,
    supersededBytes: 2 * bytes,
  });
});

test('results are needed until their job is forgotten, saved texts until their item has one', (t) => {
  const open = [
    { kind: 'jobSubmitted', job: 'a' },
    { kind: 'textsSaved', job: 'a', saved: [{ item: '1' }, { item: '2' }] },
    { kind: 'itemsListed', job: 'a', results: [{ item: '1' }] },
  ];
  const before = weigh(open);
  t.is(before.get('textsSaved')!.supersededBytes, bytes / 2);
  t.is(before.get('itemsListed')!.supersededBytes, 0);
  const ended = weigh([...open, { kind: 'jobEnded', job: 'a' }]);
  t.is(ended.get('textsSaved')!.supersededBytes, bytes);
  t.is(ended.get('itemsListed')!.supersededBytes, 0);
  const forgotten = weigh([...open, { kind: 'jobForgotten', job: 'a' }]);
  t.is(forgotten.get('itemsListed')!.supersededBytes, bytes);
  t.is(forgotten.get('jobSubmitted')!.supersededBytes, bytes);
});

test('counts of usage are superseded once their window is frozen', (t) => {
  const counted = [3, 4].map((window) => ({ kind: 'usageCounted', window, counts: {} }));
  const weights = weigh([...counted, { kind: 'usageFrozen', window: 3 }]);
  t.is(weights.get('usageCounted')!.supersededBytes, bytes);
  t.is(weights.get('usageFrozen')!.supersededBytes, 0);
});

test('a kind without a rule counts as needed', (t) => {
  t.is(weigh([{ kind: 'daemonRetired' }]).get('daemonRetired')!.supersededBytes, 0);
});
