/* eslint-disable no-await-in-loop, no-restricted-syntax, import-x/extensions -- a test script runs its steps one after the other */
/**
 * A store machine that doesn't lead is killed and starts again; later it freezes for some seconds,
 * in which the desired state changes.
 */
import { Agent, request } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, createDesiredState, delay, hasTrouble, openFleet } from '../common/harness.mjs';

/** Uptime of the process before it is killed. */
const uptimeMilliseconds = 35_000;
/** `node_freeze` of a store on the sheet: 3.2 s. */
const freezeMilliseconds = 3200;
const configApplyMilliseconds = 2500;

const fleet = await openFleet(dirname(fileURLToPath(import.meta.url)));
const { record } = fleet;
fleet.startAll(2);
await delay(1500);
await fleet.addWorker({ service: 'app' });
let version = 3;
const put = async (firstPosition = 0) => {
  version += 1;
  const desired = createDesiredState(version);
  const answer = await fleet.putDesiredState(desired, 20_000, firstPosition);
  if (answer?.status !== 200) fleet.end(2, `version ${version} was not acknowledged`);
  return Date.now();
};
await put();
await delay(uptimeMilliseconds);

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
record(`${leader.name} leads; ${follower.name} is killed and frozen later`);
if (hasTrouble) {
  await fleet.kill(follower);
  await delay(1000);
  fleet.start(follower);
}
// Well beyond `contactMs` of 4 s and `catchUpS` of 4.6 s.
await delay(10_000);

/** The operator reads on a channel that it keeps. */
const agent = new Agent({ keepAlive: true, maxSockets: 1 });
const read = (timeout) =>
  new Promise((done) => {
    const [host, port] = fleet.controlOf(follower).split(':');
    const sentAt = Date.now();
    const outgoing = request({ agent, host, port, path: '/shallotquay/config' }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        const held = response.statusCode === 200 ? JSON.parse(text).version : null;
        record(`operator: read at ${follower.name}: ${response.statusCode}, version ${held}`);
        done({ sentAt, held });
      });
    });
    outgoing.setTimeout(timeout, () => outgoing.destroy());
    outgoing.on('error', () => done({ sentAt, held: null }));
    outgoing.end();
  });

let stale = 0;
const rounds = 5;
for (let round = 0; round < rounds; round += 1) {
  await read(1000);
  if (hasTrouble) fleet.signal(follower, 'SIGSTOP');
  const frozenAt = Date.now();
  const acknowledgedAt = await put(fleet.stores().indexOf(leader));
  const newest = version;
  await delay(acknowledgedAt + configApplyMilliseconds + 100 - Date.now());
  const reading = read(5000);
  await delay(Math.max(50, frozenAt + freezeMilliseconds - Date.now()));
  if (hasTrouble) fleet.signal(follower, 'SIGCONT');
  const { sentAt, held } = await reading;
  const after = sentAt - acknowledgedAt;
  if (held !== null && held < newest) {
    stale += 1;
    record(`STALE: version ${newest} was acked ${after} ms before the read; it gave ${held}`);
  }
  await delay(6000);
}
agent.destroy();
const text = `${stale} of ${rounds} reads that were sent over 2500 ms after an ack gave an older version`;
fleet.end(stale > 0 ? 1 : 0, text);
