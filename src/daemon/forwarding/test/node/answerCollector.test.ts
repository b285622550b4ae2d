import test from 'ava';
import { createAnswerCollector } from '../../node/answerCollector.js';

const chunk = Buffer.alloc(1_024);

test('a hundred answers without end stay within the memory for collected answers', (t) => {
  const limits = { maximumAnswerBytes: 64 * 1_024, maximumCollectedBytes: 512 * 1_024 };
  const collector = createAnswerCollector(limits);
  const abandoned: number[] = [];
  const answers = Array.from({ length: 100 }, (_, index) =>
    collector.open(() => abandoned.push(index)),
  );
  let largest = 0;
  Array.from({ length: 100 }).forEach(() =>
    answers.forEach((answer) => {
      answer.add(chunk);
      largest = Math.max(largest, collector.collectedBytes());
    }),
  );
  t.true(largest <= limits.maximumCollectedBytes, `${largest} bytes`);
  t.is(new Set(abandoned).size, abandoned.length, 'each answer is abandoned once');
  t.is(abandoned.length, 100);
  t.is(collector.collectedBytes(), 0);
});

test('a small answer survives beside large ones', (t) => {
  const collector = createAnswerCollector({
    maximumAnswerBytes: 1_024 * 1_024,
    maximumCollectedBytes: 8 * 1_024,
  });
  const small = collector.open(() => t.fail('the small answer was abandoned'));
  small.add(Buffer.from('whole '));
  const large = collector.open(() => t.pass());
  Array.from({ length: 20 }).forEach(() => large.add(chunk));
  small.add(Buffer.from('answer'));
  t.is(small.take().toString(), 'whole answer');
  t.is(collector.collectedBytes(), 0);
});
