import test from 'ava';
import { createScrapedMetrics } from '../../node/scrapedMetrics.js';

const linesOf = (text: string, name: string): string[] =>
  text.split('\n').filter((line) => line.startsWith(name));

test('the text contains counters, gauges and histograms with their labels', async (t) => {
  const metrics = createScrapedMetrics();
  metrics.count('calls.refused', 2, { kind: 'noUpstream' });
  metrics.count('calls.refused', 1, { kind: 'noUpstream' });
  metrics.gauge('log.lastIndex', 7);
  metrics.observe('calls.latency', 30, { route: 'book' });
  const text = await metrics.text();
  t.deepEqual(linesOf(text, 'shallotquay_calls_refused_total'), [
    'shallotquay_calls_refused_total{kind="noUpstream"} 3',
  ]);
  t.deepEqual(linesOf(text, 'shallotquay_log_last_index'), ['shallotquay_log_last_index 7']);
  const buckets = linesOf(text, 'shallotquay_calls_latency_milliseconds_bucket');
  t.true(buckets.includes('shallotquay_calls_latency_milliseconds_bucket{le="25",route="book"} 0'));
  t.true(buckets.includes('shallotquay_calls_latency_milliseconds_bucket{le="50",route="book"} 1'));
});

test('label sets beyond the limit are counted together, and no count is lost', async (t) => {
  const metrics = createScrapedMetrics();
  const routeCount = 1_000;
  for (let number = 0; number < routeCount; number += 1) {
    metrics.count('calls.admitted', 1, { route: `route-${number}` });
  }
  const lines = linesOf(await metrics.text(), 'shallotquay_calls_admitted_total');
  const sum = lines.reduce((total, line) => total + Number(line.split(' ')[1]), 0);
  t.is(lines.length, 201);
  t.is(sum, routeCount);
});
