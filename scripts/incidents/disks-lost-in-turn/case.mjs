/* eslint-disable no-await-in-loop, no-restricted-syntax, import-x/extensions -- a test script runs its steps one after the other */
/**
 * Many changes of the desired state are acknowledged; then a store machine loses its disk, and
 * `catchUpS` after its return another one does. `claim.txt` names the variables.
 */
import {
  mkdtempSync as makeTemporaryFolder,
  readFileSync as readFile,
  rmSync as removeFolder,
} from 'node:fs';
import { loadavg, tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  call,
  createDesiredState,
  delay,
  hasTrouble,
  openFleet,
  parse,
} from '../../../review/common/harness.mjs';

const { env } = process;
const changeCount = Number(env.CHANGES ?? 600);
const routeCount = Number(env.ROUTES ?? 350);
const momentMilliseconds = Number(env.MOMENT_MS ?? 4800);
const awayMilliseconds = Number(env.AWAY_MS ?? 1000);
const second = env.SECOND ?? 'leader';
const hasPowerLoss = env.POWER === '1';
const isThirdKilled = env.KILL_THIRD === '1';
const recoveryMilliseconds = 12_000;
const firstAwayMilliseconds = 1000;
const limitSeconds = 240;
const decisiveKinds =
  /leaderMissing|configurationMissing|leadershipTaken|votingChanged|storageRecovered|votersChanging/;

const logs = makeTemporaryFolder(join(tmpdir(), 'shallotquay-review-logs-'));
env.KEEP_LOGS = logs;
const fleet = await openFleet(dirname(fileURLToPath(import.meta.url)), limitSeconds);
const { record } = fleet;

/** Each voter's own log, and the last lines of each kind in it that decide the case. */
const readLines = (member) => {
  try {
    return readFile(join(logs, `${member.name}.log`), 'utf8').split('\n');
  } catch {
    return [];
  }
};

const recordDecisiveLines = () =>
  [...fleet.stores(), ...fleet.fronts().slice(0, 1)].forEach((member) => {
    const last = new Map();
    readLines(member).forEach((line) => {
      const kind = decisiveKinds.exec(line)?.[0];
      if (kind !== undefined) last.set(kind, line);
    });
    last.forEach((line) => record(`${member.name}: ${line.slice(0, 900)}`));
  });

const end = (code, text) => {
  recordDecisiveLines();
  removeFolder(logs, { recursive: true, force: true });
  fleet.end(code, text);
};

record(
  `${changeCount} changes of ${routeCount + 3} routes, ${second} lost after ${momentMilliseconds} ms, ` +
    `power ${hasPowerLoss ? 'lost' : 'kept'}, third ${isThirdKilled ? 'killed' : 'kept'}; load ${loadavg().map((load) => load.toFixed(1))}`,
);
fleet.startAll(2);
await delay(1500);

const routes = Array.from({ length: routeCount }, (_, position) => ({
  name: `r-${position}`,
  host: 'yard.example',
  prefix: `/part${position}/`,
  kind: 'idempotent',
  timeoutMs: 3000,
  sloMs: 500,
  priority: 2,
  service: 'app',
  attempts: 2,
  public: false,
}));
const desiredStateOf = (version) => createDesiredState(version, { routes });

for (let version = 1; version <= changeCount; version += 1) {
  const answer = await fleet.putDesiredState(desiredStateOf(version), 20_000);
  if (answer?.status !== 200) end(2, `change ${version} was not acknowledged: ${answer?.status}`);
}
record(`${JSON.stringify(desiredStateOf(changeCount)).length} bytes a change, all acknowledged`);

/** Other daemons redirect an operator who asks for the state of a retirement to the leader. */
const findLeader = async () => {
  for (const member of fleet.stores()) {
    const path = `/shallotquay/retire/${member.name}`;
    const { status, headers } = await call(fleet.controlOf(member), { path, timeout: 1000 });
    if (status === 404) return member;
    const leader = fleet.stores().find(({ ip }) => headers.location?.includes(`//${ip}:`));
    if (leader !== undefined) return leader;
  }
  return undefined;
};

const loseDisk = async (member) => {
  await fleet.kill(member);
  fleet.wipe(member);
};

const leader = await findLeader();
if (leader === undefined) end(2, 'no daemon names the leader');
record(`${leader.name} leads; load ${loadavg().map((load) => load.toFixed(1))}`);
const [first, other] = fleet.stores().filter((member) => member !== leader);
if (hasTrouble) {
  await loseDisk(first);
  await delay(firstAwayMilliseconds);
  fleet.start(first);
  await delay(momentMilliseconds);
  record(
    `${first.name} has voted or joined: ${readLines(first)
      .filter((line) => line.includes('votingChanged'))
      .at(-1)
      ?.slice(0, 300)}`,
  );
  const lost = second === 'leader' ? await findLeader() : other;
  if (lost === undefined || lost === first)
    end(2, `${lost?.name ?? 'nobody'} leads before the second loss`);
  const third = fleet.stores().filter((member) => member !== lost && member !== first);
  const alone = isThirdKilled ? [lost, ...third] : [lost];
  const away = hasPowerLoss ? [...fleet.stores(), ...fleet.fronts()] : alone;
  await Promise.all(away.map((member) => fleet.kill(member)));
  fleet.wipe(lost);
  await delay(awayMilliseconds);
  away.forEach((member) => fleet.start(member));
}
await delay(recoveryMilliseconds);

const state = await fleet.order('GET desired state', { path: '/shallotquay/config' }, 8000);
const change = await fleet.putDesiredState(desiredStateOf(changeCount + 1), 8000);
const version = parse(state ?? {})?.version;
const newLeader = await findLeader();
const seen = `leader ${newLeader?.name ?? 'none'}, read ${state?.status ?? 'none'} version ${version}, change ${change?.status ?? 'none'}`;
end(state?.status === 200 && change?.status === 200 ? 0 : 1, seen);
