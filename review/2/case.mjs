/* eslint-disable no-await-in-loop, no-restricted-syntax, import-x/extensions -- a test script runs its steps one after the other */
/**
 * One worker of four answers items with events without end, for a few seconds. Later everything is
 * sound again, and the operator and the trainer ask for what they were promised.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  call,
  createDesiredState,
  delay,
  hasTrouble,
  hex,
  openFleet,
  parse,
} from '../common/harness.mjs';

/** The pages set no dose for endless bytes; one of six workers for 6.5 s is that of `srv_slow`. */
const troubleMilliseconds = 6500;
const faultyWorkers = 1;
const soundWorkers = 5;
const share = Number(process.env.SHARE ?? 1);
const settleMilliseconds = 12_000;
const itemsPerJob = 56;
const eventsPerItem = 17;
/** Two trainers submit a job each 4 s. */
const jobsPerRound = 2;
const roundMilliseconds = 4000;

const fleet = await openFleet(dirname(fileURLToPath(import.meta.url)));
const { record } = fleet;
const host = 'yard.example';
const authorization = 'Token key-one';

fleet.startAll(2);
await delay(1500);

let isFaulty = false;
let endless = 0;
/** Sends events without end until the caller closes. */
const sendWithoutEnd = ({ id, body, outgoing, worker, stampOf }) => {
  endless += 1;
  record(`${worker.name} answers ${id} with events without end`);
  outgoing.writeHead(200, {
    'request-id': id,
    'response-stamp': stampOf(id, body),
    'content-type': 'text/event-stream',
    'weight-versions': String(worker.models[0].version),
  });
  let event = 0;
  const write = () => {
    let hasRoom = true;
    while (hasRoom && !outgoing.destroyed) {
      let text = '';
      for (let number = 0; number < 200; number += 1) {
        event += 1;
        text += `id: ${event}\ndata: ${id}-${event} ${'x'.repeat(280)}\n\n`;
      }
      hasRoom = outgoing.write(text);
    }
  };
  outgoing.on('drain', write);
  outgoing.on('close', () =>
    record(`${worker.name}: the caller closed ${id} after ${event} events`),
  );
  write();
};

const options = { service: 'lm', models: ['m0'], workMilliseconds: 20, events: eventsPerItem };
const runFaultily = (context) => {
  if (isFaulty && Math.random() < share) sendWithoutEnd(context);
  else context.answerItem(context.id, context.body, context.incoming, context.outgoing);
};
for (let number = 0; number < faultyWorkers; number += 1)
  await fleet.addWorker({ ...options, run: runFaultily });
for (let number = 0; number < soundWorkers; number += 1) await fleet.addWorker(options);
await fleet.addWorker({ service: 'app' });

const acknowledged = await fleet.putDesiredState(createDesiredState(3), 20_000);
if (acknowledged?.status !== 200) fleet.end(2, 'the first desired state was not acknowledged');
await delay(3000);

const submit = async (job, number) => {
  const body = Buffer.from(
    JSON.stringify({
      step: number,
      model: 'm0',
      minVersion: 0,
      groupCount: 9,
      requests: Array.from({ length: itemsPerJob }, (_, position) => ({
        id: `${job}${position}`,
        path: `/plan/${position}`,
        headers: { Model: 'm0', 'Token-Count': '271,20' },
        body: Buffer.alloc(600, `${job}${position} `).toString('base64'),
        tokens: 291,
        group: `${job}g${Math.floor(position / 4)}`,
      })),
    }),
  );
  for (let attempt = 0; attempt < 6; attempt += 1) {
    const member = fleet.fronts()[(number + attempt) % 2];
    const answer = await call(fleet.frontOf(member), {
      method: 'POST',
      path: '/plan/',
      headers: { host, authorization, 'request-id': job, 'content-type': 'application/json' },
      body,
      timeout: 4000,
    });
    record(`trainer: job ${job} at ${member.name}: ${answer.status} ${answer.reason}`);
    if (answer.status === 202) return true;
    await delay(300);
  }
  return false;
};

/** The whole output of an item: what every sound worker writes. */
const outputOf = (item) =>
  Array.from({ length: eventsPerItem }, (_, event) => `${item}-${event + 1}`).join('\n');

/** Reads the results of a job from the start, page by page. */
const readJob = async (job) => {
  const read = { job, status: 0, next: 0, total: -1, wrong: [] };
  const until = Date.now() + 12_000;
  while (Date.now() < until && read.next !== read.total) {
    const answer = await call(fleet.frontOf(fleet.fronts()[0]), {
      path: `/shallotquay/lots/${job}?after=${read.next}`,
      headers: { host, authorization, 'wait-ms': '0' },
      timeout: 4000,
    });
    const page = parse(answer);
    read.status = answer.status;
    record(
      `client: results of ${job} after ${read.next}: ${answer.status} ${answer.reason} ` +
        `${page?.results?.length ?? '-'} of ${page?.total ?? '-'}, ${answer.body?.length ?? 0} bytes`,
    );
    (page?.results ?? [])
      .filter(({ id, state, text }) => state === 'completed' && text !== outputOf(id))
      .forEach(({ id, text }) => {
        read.wrong.push(id);
        record(`client: ${id} is completed with a text of ${text.length} characters, not its own`);
      });
    read.next = page?.next ?? read.next;
    read.total = page?.total ?? read.total;
    if (answer.status !== 200 || (page?.results ?? []).length === 0) await delay(500);
  }
  return read;
};

isFaulty = hasTrouble;
record(isFaulty ? 'TROUBLE begins' : 'no trouble');
const createJobs = () => Array.from({ length: jobsPerRound }, () => hex());
const jobs = createJobs();
const troubleEnd = delay(troubleMilliseconds);
const accepted = await Promise.all(jobs.map(submit));
if (!accepted[0]) fleet.end(2, 'the first job was not accepted');
await delay(roundMilliseconds);
const secondRound = Promise.all(createJobs().map(submit));
await troubleEnd;
isFaulty = false;
record(`TROUBLE ends; ${endless} answers had no end`);
await delay(settleMilliseconds);
await secondRound;
const later = hex();
const isAccepted = await submit(later, 1);
const state = await fleet.putDesiredState(createDesiredState(4), 10_000);
await delay(3000);
const reads = [];
for (const job of [...jobs, ...(isAccepted ? [later] : [])]) reads.push(await readJob(job));
const wrong = reads.flatMap((read) => read.wrong).length;
const unread = reads.filter(({ next, total }) => next !== total).length;
const text =
  `results completed with a text that is not the item's: ${wrong}; accepted jobs that cannot be ` +
  `read: ${unread}; later job accepted: ${isAccepted}; desired state: ${state?.status ?? 'no ack'}`;
fleet.end(wrong > 0 || unread > 0 || state?.status !== 200 ? 1 : 0, text);
