/* eslint-disable no-await-in-loop, no-restricted-syntax, import-x/extensions -- a test script runs its steps one after the other */
/**
 * Batch jobs are accepted; then one store machine loses its disk, and much later another one does.
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

const jobCount = 10;
const itemsPerJob = 8;
const itemBytes = 1_000_000;
/** Well beyond `catchUpS` of 4.6 s. */
const catchUpMilliseconds = 15_000;
const recoveryMilliseconds = 12_000;

const fleet = await openFleet(dirname(fileURLToPath(import.meta.url)));
const { record } = fleet;
const host = 'yard.example';
const authorization = 'Token key-one';

fleet.startAll(2);
await delay(1500);
await fleet.addWorker({ service: 'lm', models: ['m0'], workMilliseconds: 100 });
await fleet.addWorker({ service: 'lm', models: ['m0'], workMilliseconds: 100 });
await fleet.addWorker({ service: 'app' });
const desired = createDesiredState(3);
const acknowledged = await fleet.putDesiredState(desired, 20_000);
if (acknowledged?.status !== 200) fleet.end(2, 'the first desired state was not acknowledged');
await delay(3000);

const frontAddress = (number) => fleet.frontOf(fleet.fronts()[number % fleet.fronts().length]);

const submit = async (job, number) => {
  const body = Buffer.from(
    JSON.stringify({
      step: number,
      model: 'm0',
      minVersion: 0,
      groupCount: 4,
      requests: Array.from({ length: itemsPerJob }, (_, position) => ({
        id: `${job}${position}`,
        path: `/plan/${position}`,
        headers: { Model: 'm0', 'Token-Count': '100,20' },
        body: Buffer.alloc(itemBytes, `${job}${position} `).toString('base64'),
        tokens: 120,
        group: `${job}g${Math.floor(position / 2)}`,
      })),
    }),
  );
  for (let attempt = 0; attempt < 5; attempt += 1) {
    const answer = await call(frontAddress(number + attempt), {
      method: 'POST',
      path: '/plan/',
      headers: { host, authorization, 'request-id': job, 'content-type': 'application/json' },
      body,
      timeout: 5000,
    });
    record(`trainer: job ${job} of ${body.length} bytes: ${answer.status} ${answer.reason}`);
    if (answer.status === 202) return true;
    await delay(300);
  }
  return false;
};

const jobs = [];
for (let number = 0; number < jobCount; number += 1) {
  const job = hex();
  if (await submit(job, number)) jobs.push(job);
  await delay(500);
}
if (jobs.length < jobCount) fleet.end(2, `only ${jobs.length} of ${jobCount} jobs were accepted`);
await delay(2000);

const readJob = async (job, seconds) => {
  const until = Date.now() + seconds * 1000;
  let number = 0;
  for (;;) {
    number += 1;
    const answer = await call(frontAddress(number), {
      path: `/shallotquay/lots/${job}?after=0`,
      headers: { host, authorization, 'wait-ms': '0' },
      timeout: 2500,
    });
    const text = parse(answer);
    record(
      `client: results of ${job}: ${answer.status} ${answer.reason} ` +
        `${text?.results?.length ?? '-'} of ${text?.total ?? '-'}`,
    );
    if (answer.status === 200 || Date.now() > until) return answer;
    await delay(500);
  }
};

const readDesiredState = (seconds) =>
  fleet.order('GET desired state', { path: '/shallotquay/config' }, seconds * 1000);

await readJob(jobs[0], 2);

const loseDisk = async (member, milliseconds) => {
  await fleet.kill(member);
  fleet.wipe(member);
  await delay(milliseconds);
  fleet.start(member);
};

/** Other daemons redirect an operator who asks for the state of a retirement to the leader. */
const findLeader = async () => {
  for (const member of fleet.stores()) {
    const path = `/shallotquay/retire/${member.name}`;
    const { status, headers } = await call(fleet.controlOf(member), { path, timeout: 1000 });
    if (status === 404) return member;
    const leader = fleet.stores().find(({ ip }) => headers.location?.includes(`//${ip}:`));
    if (leader !== undefined) return leader;
  }
  return fleet.end(2, 'no daemon names the leader');
};

const leader = await findLeader();
const [follower] = fleet.stores().filter((member) => member !== leader);
record(`${leader.name} leads`);
if (hasTrouble) await loseDisk(follower, 2000);
await delay(catchUpMilliseconds);
await readJob(jobs[0], 2);
const before = await readDesiredState(5);
if (before?.status !== 200) fleet.end(2, 'the desired state could not be read after one loss');
const second = await findLeader();
record(`${second.name} leads`);
const next = second === follower ? fleet.stores().find((member) => member !== follower) : second;
if (hasTrouble) await loseDisk(next, 2000);
await delay(recoveryMilliseconds);

const state = await readDesiredState(10);
const answers = [];
for (const job of jobs.slice(0, 3)) answers.push((await readJob(job, 5)).status);
record(`desired state: ${state?.status ?? 'none'}; jobs: ${answers.join(', ')}`);
const isLost = state?.status !== 200 || answers.some((status) => status !== 200);
if (isLost)
  fleet.end(1, `desired state: ${state?.status ?? 'no answer'}, jobs: ${answers.join(', ')}`);
fleet.end(0, 'the desired state and the jobs can be read');
