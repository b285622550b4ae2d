/* eslint-disable no-await-in-loop, no-restricted-syntax, no-param-reassign, import-x/extensions -- a test script runs its steps one after the other */
/**
 * Workers that cannot be reached for seconds, and changes of leader meanwhile. A judge applies rule
 * ONE to the orders in the order in which each worker handled them. `claim.txt` names the variables.
 */
import { fork, spawn } from 'node:child_process';
import { once } from 'node:events';
import { subscribe } from 'node:diagnostics_channel';
import {
  mkdirSync as makeFolder,
  readFileSync as readFile,
  writeFileSync as writeFile,
} from 'node:fs';
import { connect } from 'node:net';
import { loadavg } from 'node:os';
import { dirname, join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import {
  call,
  createDesiredState,
  delay,
  hasTrouble,
  hex,
  openFleet,
} from '../../../review/common/harness.mjs';
import { createConnectionWatch, createJudge } from './judge.mjs';

const { env } = process;
const seed = Number(env.SEED ?? 1);
const durationSeconds = Number(env.DURATION_S ?? 60);
const workerCount = Number(env.WORKERS ?? 6);
const plan = env.PLAN ?? 'full';
const core = (env.CORE ?? 'freezeLeader,freezeFollowers,killLeader,termLeader').split(',');
const rangeOf = (text) => text.split(',').map(Number);
const blockMilliseconds = rangeOf(env.BLOCK_MS ?? '10000,20000');
const changeGapMilliseconds = rangeOf(env.GAP_MS ?? '5000,11000');
const isOverlapping = env.OVERLAP !== '0';
const leaseMilliseconds = 3000;
const thawMilliseconds = 300;
const backlog = 16;
const versionIntervalMilliseconds = 1500;
const sampleMilliseconds = 25;

const caseFolder = dirname(fileURLToPath(import.meta.url));
if (env.KEEP_LOGS !== undefined) makeFolder(env.KEEP_LOGS, { recursive: true });
const fleet = await openFleet(caseFolder, durationSeconds + 60);
const { record } = fleet;
const startedAt = Date.now() - fleet.seconds() * 1000;
const secondsOf = (at) =>
  at === undefined ? 'unseen' : `${((at - startedAt) / 1000).toFixed(3)} s`;

/**
 * A linear congruential generator. Each lane of troubles has its own, so that a seed gives the same
 * troubles again whatever the other lanes do meanwhile.
 */
const createRandom = (lane) => {
  let state = Math.imul(seed * 16 + lane, 2_654_435_761);
  const next = () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0; // eslint-disable-line no-bitwise -- modulo 2 ** 32
    return state / 2 ** 32;
  };
  for (let skipped = 0; skipped < 8; skipped += 1) next();
  return {
    next,
    between: (least, most) => least + next() * (most - least),
    select: (list) => list[Math.floor(next() * list.length)],
  };
};

const judge = createJudge(leaseMilliseconds);
const watch = createConnectionWatch(sampleMilliseconds);
const counts = { orders: 0, calls: 0, breaches: 0, exempt: 0, changes: 0 };
const breachKinds = new Map();
const thawedAt = new Map();

const isExempt = (holder, at) => {
  const thawed = thawedAt.get(holder);
  return thawed !== undefined && at >= thawed && at - thawed <= thawMilliseconds;
};

const nameCall = ({ holder, fence }) => `holder ${holder} fence ${fence}`;

const judgeCall = (subject, handled, mechanism) => {
  const isThawed = isExempt(handled.holder, handled.arrivedAt ?? handled.at);
  const breach = judge.recordCall(subject, { ...handled, isExempt: isThawed });
  if (breach === undefined) return;
  const holders = breach.after.holder === handled.holder ? 'one holder' : 'two holders';
  const text = `${breach.kind}, ${holders}, ${mechanism}`;
  if (isThawed) {
    counts.exempt += 1;
    record(`NOT COUNTED (sender thawed): ${subject}: ${text}`);
    return;
  }
  counts.breaches += 1;
  breachKinds.set(text, (breachKinds.get(text) ?? 0) + 1);
  record(
    `BREACH: ${text}: ${subject} ${nameCall(handled)} at ${secondsOf(handled.at)} ` +
      `AFTER ${nameCall(breach.after)} at ${secondsOf(breach.after.at)}`,
  );
};

/** The platform of the harness records no holders; its requests are seen here too. */
subscribe('http.server.request.start', ({ request }) => {
  const holder = request.headers['duty-holder'];
  if (holder === undefined) return;
  const chunks = [];
  request.on('data', (chunk) => chunks.push(chunk));
  request.on('end', () => {
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8'));
    const subject =
      request.url === '/usage' ? 'call /usage' : `call ${request.url} ${body.service} ${body.zone}`;
    const fence = Number(request.headers['fence-token']);
    counts.calls += 1;
    record(`platform: ${subject} ${nameCall({ holder, fence })}`);
    judgeCall(subject, { holder, fence, at: Date.now() }, 'platform');
  });
});

/** The harness lists one duty only; the file is rewritten before the process has read it. */
const start = (member, options) => {
  fleet.start(member, options);
  const file = join(dirname(fleet.stores()[0].dataDir), `${member.name}.json`);
  const settings = JSON.parse(readFile(file, 'utf8'));
  settings.cloudApi.duties = ['metering', 'autoscale'];
  writeFile(file, JSON.stringify(settings));
};

const workers = [];
const zoneNames = ['a', 'b', 'c'];
const reportIntervalMilliseconds = 1200;

/** Reports for a worker, as if only the way to it were broken while it cannot be reached. */
const report = async (worker) => {
  worker.seq += 1;
  const body = Buffer.from(
    JSON.stringify({
      service: 'lm',
      addr: worker.address,
      zone: worker.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
      stage: 'both',
      models: [{ name: 'm0', version: worker.version, adapters: [] }],
      seq: worker.seq,
      born: worker.born,
    }),
  );
  for (const member of fleet.stores()) {
    const { status } = await call(fleet.controlOf(member), {
      method: 'PUT',
      path: `/shallotquay/instances/${worker.id}`,
      headers: { 'content-type': 'application/json' },
      body,
      timeout: 500,
    });
    if (status >= 200 && status < 300) return;
  }
};

/**
 * Says how an order came to be late. A connection that opened for long is a SYN that the kernel
 * repeated; bytes that the sender's kernel kept were repeated by it; bytes that lay unread were sent
 * in time and read late.
 */
const longMilliseconds = 700;
const describeMechanism = ({ openingAt, establishedAt, unsentAt, bytesAt }, at) => {
  const arrivedAt = bytesAt ?? at;
  const isLong = (from, to) => from !== undefined && to - from > longMilliseconds;
  const found = [
    isLong(openingAt, establishedAt ?? arrivedAt) && 'late SYN',
    isLong(establishedAt, unsentAt ?? arrivedAt) && 'written late',
    isLong(unsentAt, arrivedAt) && "bytes in the sender's kernel",
    isLong(arrivedAt, at) && "bytes in the worker's kernel",
  ].filter(Boolean);
  return found.length === 0 ? 'sent at once' : found.join(', ');
};

const handleMessage = (worker, message) => {
  if (message.kind === 'loaded') {
    worker.version = message.version;
    report(worker);
    return;
  }
  const { order, remotePort, at } = message;
  const connection = watch.find(worker.address, worker.link?.ports.get(remotePort) ?? remotePort);
  const mechanism = describeMechanism(connection, at);
  counts.orders += 1;
  record(
    `${worker.name} ${worker.id} handled at ${secondsOf(at)} version ${order.version} ` +
      `${nameCall(order)} (${mechanism}; opening ${secondsOf(connection.openingAt)}, ` +
      `established ${secondsOf(connection.establishedAt)}, unsent ${secondsOf(connection.unsentAt)}, unread ${secondsOf(connection.bytesAt)}, ` +
      `closed by the sender ${secondsOf(connection.closedAt)})`,
  );
  const { holder, fence } = order;
  const sinceOpen = at - (worker.openedAt ?? 0);
  judgeCall(
    `order "${worker.id}"`,
    { holder, fence, at, arrivedAt: connection.bytesAt ?? at },
    `${mechanism}, ${sinceOpen > thawMilliseconds ? 'later than' : 'within'} ${thawMilliseconds} ms after the worker went on`,
  );
};

/** A link of its own in front of a worker; see `lossy_link.py`. */
const openLink = async (number, workerAddress) => {
  const host = fleet.ipOf(150 + number);
  const child = spawn(
    'python3',
    [join(caseFolder, 'lossy_link.py'), host, ...workerAddress.split(':')],
    { stdio: ['pipe', 'pipe', 'inherit'] },
  );
  const ports = new Map();
  const lines = createInterface({ input: child.stdout });
  const [port] = await once(lines, 'line');
  lines.on('line', (line) => {
    const [towardsWorker, sender] = line.split(' ').map(Number);
    ports.set(towardsWorker, sender);
  });
  return { address: `${host}:${port}`, child, ports };
};

const addWorker = async (number) => {
  const worker = {
    id: `i-${hex(4)}`,
    name: `worker-${number}`,
    zone: zoneNames[number % zoneNames.length],
    version: 1,
    seq: 0,
    born: Date.now(),
    isBlocked: false,
  };
  const host = fleet.ipOf(100 + number);
  const handlingMilliseconds = plan === 'threads' ? 20 : 0;
  worker.child = fork(join(caseFolder, 'worker.mjs'), [
    JSON.stringify({ id: worker.id, host, backlog, handlingMilliseconds }),
  ]);
  const { port } = await new Promise((done) => {
    worker.child.once('message', done);
  });
  worker.address = `${host}:${port}`;
  if (plan === 'lossy') {
    worker.link = await openLink(number, worker.address);
    worker.address = worker.link.address;
  }
  worker.child.on('message', (message) => handleMessage(worker, message));
  watch.add(worker.address);
  workers.push(worker);
  await report(worker);
  setInterval(() => report(worker), reportIntervalMilliseconds);
  return worker;
};

/** Also when the harness ends the run; a stopped worker would stay. */
process.on('exit', () =>
  workers.forEach(({ child, link }) => {
    child.kill('SIGKILL');
    link?.child.kill('SIGKILL');
  }),
);

const endRun = (code, text) => {
  watch.dispose();
  fleet.end(code, text);
};

/** Other daemons redirect an operator who asks for the state of a retirement to the leader. */
const findLeader = async () => {
  for (let attempt = 0; attempt < 20; attempt += 1) {
    for (const member of fleet.stores()) {
      const path = `/shallotquay/retire/${member.name}`;
      const { status, headers } = await call(fleet.controlOf(member), { path, timeout: 300 });
      if (status === 404) return member;
      const leader = fleet.stores().find(({ ip }) => headers.location?.includes(`//${ip}:`));
      if (leader !== undefined) return leader;
    }
    await delay(200);
  }
  return undefined;
};

const freeze = async (members, milliseconds) => {
  members.forEach((member) => fleet.signal(member, 'SIGSTOP'));
  await delay(milliseconds);
  members.forEach((member) => {
    thawedAt.set(member.name, Date.now());
    fleet.signal(member, 'SIGCONT');
  });
};

const coreRandom = createRandom(0);

const restart = async (member, signal) => {
  await fleet.kill(member, signal);
  await delay(coreRandom.between(300, 1500));
  start(member);
};

const coreHandlers = {
  freezeLeader: (leader) => freeze([leader], coreRandom.between(2000, 5000)),
  freezeFollowers: (leader) =>
    freeze(
      fleet.stores().filter((member) => member !== leader),
      coreRandom.between(1600, 4000),
    ),
  killLeader: (leader) => restart(leader, 'SIGKILL'),
  termLeader: (leader) => restart(leader, 'SIGTERM'),
};

/** Fills the queue of a stopped worker, so that its kernel drops the SYN of everybody else. */
const fillBacklog = async (worker) => {
  const [host, port] = worker.address.split(':');
  const fillers = [];
  for (let number = 0; number <= backlog + 4; number += 1) {
    const socket = connect({ host, port: Number(port) });
    socket.on('error', () => {});
    const isConnected = await new Promise((done) => {
      socket.once('connect', () => done(true));
      setTimeout(() => done(false), 100);
    });
    if (!isConnected) {
      socket.destroy();
      break;
    }
    fillers.push(socket);
  }
  record(`${worker.name}: ${fillers.length} idle connections fill its queue`);
  return fillers;
};

const block = async (worker, milliseconds, isFilled) => {
  worker.isBlocked = true;
  record(`${worker.name} ${worker.id} gets SIGSTOP for ${Math.round(milliseconds)} ms`);
  worker.child.kill('SIGSTOP');
  const fillers = isFilled ? await fillBacklog(worker) : [];
  await delay(milliseconds);
  worker.openedAt = Date.now();
  worker.child.kill('SIGCONT');
  record(`${worker.name} ${worker.id} gets SIGCONT`);
  worker.isBlocked = false;
  await delay(1000);
  fillers.forEach((socket) => socket.destroy());
};

const breakLink = async (worker, milliseconds) => {
  worker.isBlocked = true;
  record(`the link of ${worker.name} ${worker.id} goes down for ${Math.round(milliseconds)} ms`);
  worker.link.child.stdin.write('down\n');
  await delay(milliseconds);
  worker.openedAt = Date.now();
  worker.link.child.stdin.write('up\n');
  record(`the link of ${worker.name} ${worker.id} goes up`);
  worker.isBlocked = false;
};

const blockByPlan = {
  full: (worker, milliseconds) => block(worker, milliseconds, true),
  stopped: (worker, milliseconds) => block(worker, milliseconds, false),
  threads: (worker, milliseconds) => block(worker, milliseconds, false),
  mixed: (worker, milliseconds, random) => block(worker, milliseconds, random.next() < 0.6),
  lossy: breakLink,
};

const until = Date.now() + durationSeconds * 1000;
const isOver = () => Date.now() >= until;

const nameVersions = async () => {
  for (let version = 2; !isOver(); version += 1) {
    await fleet.putVersion('m0', version, 20_000);
    await delay(versionIntervalMilliseconds);
  }
};

const sendRequests = async () => {
  const random = createRandom(3);
  while (!isOver()) {
    const member = random.select(fleet.fronts());
    call(fleet.frontOf(member), {
      path: '/book/1',
      timeout: 2000,
      headers: { host: 'yard.example', authorization: 'Token key-one', 'request-id': hex() },
    });
    await delay(200);
  }
};

/** One lane blocks one worker after the other; two lanes overlap. */
const blockWorkers = async (lane) => {
  const random = createRandom(lane);
  while (!isOver()) {
    await delay(random.between(300, 1500));
    const free = workers.filter(({ isBlocked }) => !isBlocked);
    await blockByPlan[plan](random.select(free), random.between(...blockMilliseconds), random);
  }
};

const changeLeaders = async () => {
  while (!isOver()) {
    await delay(coreRandom.between(...changeGapMilliseconds));
    const leader = await findLeader();
    if (leader !== undefined) {
      const kind = coreRandom.select(core);
      record(`core: ${kind}, ${leader.name} leads`);
      counts.changes += 1;
      await coreHandlers[kind](leader);
    }
  }
};

record(
  `seed ${seed}, plan ${plan}, core ${core}, overlap ${isOverlapping}, blocked ${blockMilliseconds} ms, gap ${changeGapMilliseconds} ms, ${workerCount} workers, ` +
    `${durationSeconds} s, trouble ${hasTrouble}; load ${loadavg().map((load) => load.toFixed(1))}`,
);
for (let number = 1; number <= 3; number += 1) {
  start(fleet.add('store', number, fleet.ipOf(number)), { isFirst: true });
}
for (let number = 1; number <= 2; number += 1) {
  start(fleet.add('front', number, fleet.ipOf(10 + number)), { isFirst: true });
}
await delay(1500);
const desired = createDesiredState(1);
desired.services[0].autoscale = {
  min: 1,
  max: 6,
  startupS: 4,
  spotPrice: 0.22,
  zonePrices: { a: 0.85, b: 1.2, c: 1 },
};
const accepted = await fleet.putDesiredState(desired, 20_000);
if (accepted?.status !== 200) endRun(2, `the desired state was not acknowledged`);
await fleet.addWorker({ service: 'app' });
for (let number = 1; number <= workerCount; number += 1) await addWorker(number);

const lanes = isOverlapping ? [1, 2] : [1];
const startTroubles = () => [...lanes.map(blockWorkers), changeLeaders()];
await Promise.race([
  Promise.all([nameVersions(), sendRequests(), ...(hasTrouble ? startTroubles() : [])]),
  delay(durationSeconds * 1000 + 25_000),
]);
// Part of what the kernels still repeat arrives in this time.
await delay(4000);
breachKinds.forEach((count, text) => record(`${count} times: ${text}`));
endRun(
  counts.breaches > 0 ? 1 : 0,
  `seed ${seed}: ${counts.orders} orders, ${counts.calls} calls, ${counts.changes} troubles of the core, ` +
    `${counts.breaches} breaches, ${counts.exempt} not counted`,
);
