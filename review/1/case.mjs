/* eslint-disable no-await-in-loop, import-x/extensions -- a test script runs its steps one after the other */
/**
 * A desired state with many routes changes again and again; then all processes are killed once, and
 * start again with their disks.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, createDesiredState, delay, hasTrouble, hex, openFleet } from '../common/harness.mjs';

/** The largest `big_config` of the site files in force, `grown/restpunt-grown.toml`. */
const routeCount = Number(process.env.ROUTES ?? 1400);
/** "A day may be long and may contain hundreds of changes." */
const changeCount = Number(process.env.CHANGES ?? 110);
/** A `config_storm` makes a change each 0.33 s. */
const changeMilliseconds = 330;
const recoveryMilliseconds = 12_000;

const fleet = await openFleet(dirname(fileURLToPath(import.meta.url)));
const { record } = fleet;
const headers = { host: 'yard.example', authorization: 'Token key-one' };

fleet.startAll(2);
await delay(1500);
await fleet.addWorker({ service: 'app' });
await fleet.addWorker({ service: 'app' });

const manyRoutes = Array.from({ length: routeCount }, (_, number) => ({
  name: `r-many-${number}`,
  host: 'many.example',
  prefix: `/many${number}/`,
  kind: 'idempotent',
  timeoutMs: 3000,
  sloMs: 847,
  priority: 2,
  service: 'app',
  attempts: 2,
  public: false,
}));

/** Each change sets the timeout of one route. */
const createVersion = (version) =>
  createDesiredState(version, {
    routes: manyRoutes.map((route, number) =>
      number === version % routeCount ? { ...route, timeoutMs: 3000 + version } : route,
    ),
  });

let version = 3;
const acknowledged = await fleet.putDesiredState(createVersion(version), 20_000);
if (acknowledged?.status !== 200) fleet.end(2, 'the first desired state was not acknowledged');
await delay(3000);

/** Consumers ask each front in turn, and the next one after a failure. */
const serve = async (count) => {
  let served = 0;
  for (let number = 0; number < count; number += 1) {
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const member = fleet.fronts()[(number + attempt) % fleet.fronts().length];
      const id = hex();
      const answer = await call(fleet.frontOf(member), {
        method: 'POST',
        path: '/book/slot',
        headers: { ...headers, 'request-id': id, 'deadline-ms': '1200' },
        body: Buffer.from('slot'),
        timeout: 1200,
      });
      record(`consumer: ${id} at ${member.name}: ${answer.status} ${answer.reason}`);
      if (answer.status === 200) {
        served += 1;
        break;
      }
      await delay(100);
    }
    await delay(100);
  }
  return served;
};

for (let change = 0; change < changeCount; change += 1) {
  const startedAt = Date.now();
  version += 1;
  const answer = await fleet.putDesiredState(createVersion(version), 10_000);
  if (answer?.status !== 200) fleet.end(2, `version ${version} was not acknowledged`);
  await delay(Math.max(0, changeMilliseconds - (Date.now() - startedAt)));
}
const servedBefore = await serve(10);
record(`before the final fault ${servedBefore} of 10 requests were served`);
if (servedBefore < 8) fleet.end(2, `only ${servedBefore} of 10 requests were served before`);

if (hasTrouble) {
  const members = [...fleet.stores(), ...fleet.fronts()];
  await Promise.all(members.map((member) => fleet.kill(member)));
  await delay(1000);
  members.forEach((member) => fleet.start(member));
}
await delay(recoveryMilliseconds);
const count = 40;
const served = await serve(count);
record(
  `later than ${recoveryMilliseconds} ms after the machines are back ${served} of ${count} were served`,
);
if (served < count / 4)
  fleet.end(1, `${served} of ${count} requests were served after the recovery`);
fleet.end(0, `${served} of ${count} requests were served after the recovery`);
