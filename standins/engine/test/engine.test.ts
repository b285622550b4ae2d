/**
 * The model engine stand-in: generated text, request records, slots, priorities and cancellation.
 */
import test from 'ava';
import { request } from 'undici';
import {
  chatCompletionsPath,
  completionsPath,
  engineChunkSchema,
  engineRefusalHeader,
  engineRefusalStatus,
  priorityHeader,
} from '../../../src/service/protocol/common/engineProtocol.js';
import { waitUntil } from '../../common/test/waitUntil.js';
import { FaultKind } from '../../faults/faults.js';
import { startEngine } from '../engine.js';
import { RequestState } from '../engineTables.js';
import { textBetween, tokenCountOf } from '../engineText.js';
import { post, streamCompletion } from './engineClient.js';

test('a stream has the complete text, one token per chunk, and the usage at its end', async (t) => {
  const engine = await startEngine({ weightVersion: 7, incarnation: 3 });
  t.teardown(engine.dispose);
  const stream = await streamCompletion(engine.address, { prompt: 'two words' });
  const count = tokenCountOf('two words');
  t.true(stream.isComplete);
  t.is(stream.text, textBetween('two words', 0, count));
  t.is(stream.chunks.length, count + 1);
  t.true(stream.chunks.every((chunk) => chunk.weight_version === 7 && chunk.incarnation === 3));
  t.deepEqual(stream.chunks.at(-1)?.usage, { prompt_tokens: 2, completion_tokens: count });
});

test('a stream taken up at an offset continues the same text', async (t) => {
  const engine = await startEngine();
  t.teardown(engine.dispose);
  const messages = [{ role: 'user', content: 'resume me' }];
  const completeBody = { messages, max_tokens: 9 };
  const resumedBody = { ...completeBody, resume_from_token: 4 };
  const first = await streamCompletion(engine.address, completeBody, chatCompletionsPath);
  const second = await streamCompletion(engine.address, resumedBody, chatCompletionsPath);
  const prefix = textBetween('user: resume me', 0, 4);
  t.is(prefix + second.text, first.text);
  t.is(second.chunks.at(-1)?.usage?.completion_tokens, 5);
});

test('an answer without streaming has the same text in one body', async (t) => {
  const engine = await startEngine({ weightVersion: 2 });
  t.teardown(engine.dispose);
  const body = { model: 'm', max_tokens: 5, messages: [{ role: 'user', content: 'x' }] };
  const answer = await post(`${engine.address}${chatCompletionsPath}`, body);
  const chunk = engineChunkSchema.parse(await answer.body.json());
  t.is(chunk.choices[0]?.message?.content, textBetween('user: x', 0, 5));
  t.is(chunk.tokens, 5);
  t.is(chunk.weight_version, 2);
});

test('a request record has the headers, path, body and number of sent tokens', async (t) => {
  const engine = await startEngine();
  t.teardown(engine.dispose);
  const body = { model: 'm', prompt: 'p', max_tokens: 3 };
  const answer = await post(`${engine.address}${completionsPath}`, body, { 'x-seen': 'yes' });
  await answer.body.dump();
  const [row] = engine.requests();
  t.is(row?.headers['x-seen'], 'yes');
  t.is(row?.path, completionsPath);
  t.is(row?.body, JSON.stringify(body));
  t.is(row?.tokensSent, 3);
  t.is(row?.state, RequestState.Finished);
});

test('a request without a free slot is refused as not run', async (t) => {
  const faults = [{ fault: { kind: FaultKind.NeverAnswer } }];
  const engine = await startEngine({ slots: 1, faults });
  t.teardown(engine.dispose);
  const url = `${engine.address}${completionsPath}`;
  const first = post(url, { model: 'm', prompt: 'first' }).catch(() => undefined);
  await waitUntil(() => engine.counters().received === 1);
  const second = await post(url, { model: 'm', prompt: 'second' });
  await second.body.dump();
  t.is(second.statusCode, engineRefusalStatus);
  t.is(second.headers[engineRefusalHeader], 'true');
  t.is(engine.requests()[1]?.tokensSent, 0);
  await engine.dispose();
  await first;
});

test('a free slot goes to the waiting request with the lowest priority number', async (t) => {
  const faults = [{ fault: { kind: FaultKind.SilentAfterTokens, tokens: 1 } }];
  const engine = await startEngine({ slots: 1, queueLimit: 2, faults });
  t.teardown(engine.dispose);
  const url = `${engine.address}${completionsPath}`;
  const slotOwner = await post(url, { model: 'm', prompt: 'holder', stream: true });
  const finished: string[] = [];
  const send = async (prompt: string, priority: string) => {
    const answer = await post(url, { model: 'm', prompt }, { [priorityHeader]: priority });
    await answer.body.dump();
    finished.push(prompt);
  };
  const bulk = send('bulk', '9');
  await waitUntil(() => engine.counters().received === 2);
  const prompt = send('prompt', '1');
  await waitUntil(() => engine.counters().received === 3);
  slotOwner.body.on('error', () => undefined).destroy();
  await Promise.all([bulk, prompt]);
  t.deepEqual(finished, ['prompt', 'bulk']);
});

test('a request whose connection is closed is cancelled and counted', async (t) => {
  const faults = [{ fault: { kind: FaultKind.SilentAfterTokens, tokens: 2 } }];
  const engine = await startEngine({ faults });
  t.teardown(engine.dispose);
  const controller = new AbortController();
  const answer = await request(`${engine.address}${completionsPath}`, {
    method: 'POST',
    body: JSON.stringify({ model: 'm', prompt: 'p', stream: true }),
    signal: controller.signal,
  });
  answer.body.on('error', () => undefined);
  controller.abort();
  await waitUntil(() => engine.counters().cancelled === 1);
  t.is(engine.requests()[0]?.state, RequestState.Cancelled);
  t.is(engine.requests()[0]?.tokensSent, 2);
});

test('a body that is not JSON is refused and not recorded as a request', async (t) => {
  const engine = await startEngine();
  t.teardown(engine.dispose);
  const answer = await request(`${engine.address}${completionsPath}`, {
    method: 'POST',
    body: 'no json',
  });
  await answer.body.dump();
  t.is(answer.statusCode, 400);
  t.is(engine.counters().received, 0);
});
