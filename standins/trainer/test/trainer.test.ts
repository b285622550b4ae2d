/** The trainer stand-in: batch order, acknowledgement, duplicates, failing entries and refusals. */
import test from 'ava';
import { Hono } from 'hono';
import {
  cutConnection,
  listen,
  type HttpAnswer,
  type StandInEnvironment,
} from '../../common/httpListener.js';
import { startTrainer } from '../trainer.js';
import { lotRequestSchema, lotsPath, type LotRequest } from '../trainerProtocol.js';

const lot: LotRequest = {
  service: 'planner',
  model: 'planner-lm',
  step: 1,
  groups: [{ prompt: 'a' }],
  groupSize: 2,
  stalenessBound: 1,
  remaining: 1000,
  trainerVersion: 1,
  maxTokens: 4,
};

const sampleOf = (sample: string) => ({
  sample,
  group: 0,
  text: `text of ${sample}`,
  spans: [{ weightVersion: 1, incarnation: 1, tokens: 2 }],
});

const batchOf = (cursor: string, nextCursor: string | null, samples: readonly string[]) =>
  ({ status: 200, body: { cursor, nextCursor, samples: samples.map(sampleOf) } }) as const;

type ScriptedAnswer =
  { readonly status: 200 | 202 | 410 | 503; readonly body: object } | { readonly status: 'cut' };

/**
 * Starts an entry that sends scripted answers to batch requests and records the requested cursors.
 */
const startEntry = async (answers: readonly ScriptedAnswer[]) => {
  const requestedBatches: string[] = [];
  const keys = new Set<string | undefined>();
  const application = new Hono<StandInEnvironment>();
  application.post(lotsPath, async (context) => {
    lotRequestSchema.parse(await context.req.json());
    return context.json({ lot: 'lot 1' }, 201);
  });
  application.get(`${lotsPath}/:lot/batches/:cursor`, (context): HttpAnswer => {
    const answer = answers[requestedBatches.length]!;
    requestedBatches.push(`${context.req.param('lot')}/${context.req.param('cursor')}`);
    keys.add(context.req.header('authorization'));
    if (answer.status === 'cut') return cutConnection(context.env);
    return context.json(answer.body, answer.status);
  });
  return { ...(await listen(application, 0)), requestedBatches, keys };
};

const openLotAt = async (entries: readonly string[]) => {
  const trainer = startTrainer({ entries, key: 'secret', retryDelay: 1 });
  const opened = await trainer.openLot(lot);
  return { trainer, id: opened._unsafeUnwrap() };
};

test('batches are fetched in order despite waits, cut connections and error answers', async (t) => {
  const entry = await startEntry([
    { status: 202, body: { retryAfter: 1 } },
    batchOf('0', '1', ['a']),
    { status: 'cut' },
    { status: 503, body: {} },
    batchOf('1', null, ['b']),
  ]);
  t.teardown(entry.dispose);
  const { trainer, id } = await openLotAt([entry.address]);
  t.teardown(trainer.dispose);
  const deliveredSamples = (await trainer.whenComplete(id))._unsafeUnwrap();
  t.deepEqual(
    deliveredSamples.map((row) => [row.sample, row.deliveries]),
    [
      ['a', 1],
      ['b', 1],
    ],
  );
  t.deepEqual(
    entry.requestedBatches,
    ['0', '0', '1', '1', '1'].map((cursor) => `lot 1/${cursor}`),
  );
  t.deepEqual([...entry.keys], ['Bearer secret']);
  t.is(trainer.counters().doubles, 0);
  t.is(trainer.counters().unreachable, 2);
});

test('a sample delivered in two batches is counted as a duplicate', async (t) => {
  const entry = await startEntry([batchOf('0', '1', ['a', 'b']), batchOf('1', null, ['b'])]);
  t.teardown(entry.dispose);
  const { trainer, id } = await openLotAt([entry.address]);
  t.teardown(trainer.dispose);
  await trainer.whenComplete(id);
  t.is(trainer.counters().samples, 2);
  t.is(trainer.counters().doubles, 1);
});

test('a batch is not acknowledged if the request for the next one is refused', async (t) => {
  const entry = await startEntry([batchOf('0', '1', ['a']), { status: 410, body: {} }]);
  t.teardown(entry.dispose);
  const { trainer, id } = await openLotAt([entry.address]);
  t.teardown(trainer.dispose);
  const failure = (await trainer.whenComplete(id))._unsafeUnwrapErr();
  t.is(failure.kind, 'lotRefused');
  t.is(trainer.counters().samples, 0);
});

test('the next entry is used if the first one does not answer', async (t) => {
  const first = await startEntry([{ status: 'cut' }]);
  const second = await startEntry([batchOf('0', null, ['a'])]);
  t.teardown(first.dispose);
  t.teardown(second.dispose);
  const { trainer, id } = await openLotAt([first.address, second.address]);
  t.teardown(trainer.dispose);
  t.is((await trainer.whenComplete(id))._unsafeUnwrap().length, 1);
  t.is(second.requestedBatches.length, 1);
});

test('a lot is not opened at an entry that does not answer', async (t) => {
  const stoppedEntry = await startEntry([]);
  await stoppedEntry.dispose();
  const trainer = startTrainer({ entries: [stoppedEntry.address], key: 'secret' });
  t.teardown(trainer.dispose);
  t.is((await trainer.openLot(lot))._unsafeUnwrapErr().kind, 'entryUnreachable');
});
