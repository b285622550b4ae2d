/**
 * Applies rule ONE to the calls of one subject in the order in which they were handled, and watches
 * the connections to workers in the table of the kernel. It sends nothing.
 */
import { readFileSync as readFile } from 'node:fs';

/** A call names its `holder`, `fence`, the instant `at` at which it was handled, and `isExempt`. */
export const createJudge = (leaseMilliseconds) => {
  const callsBySubject = new Map();

  const findBreach = (earlier, call) => {
    const higher = earlier.findLast(({ fence }) => fence > call.fence);
    if (higher !== undefined) return { kind: 'a lower fence after a higher one', after: higher };
    const shared = earlier.findLast(
      ({ fence, holder }) => fence === call.fence && holder !== call.holder,
    );
    if (shared !== undefined) return { kind: 'two holders with one fence', after: shared };
    const other = earlier.findLast(({ holder }) => holder !== call.holder);
    const own =
      other &&
      earlier
        .slice(0, earlier.indexOf(other))
        .findLast(({ holder, at }) => holder === call.holder && call.at - at < leaseMilliseconds);
    return own && { kind: 'holders that take turns', after: other };
  };

  return {
    /** Returns the breach that the call is, or undefined. Exempt calls do not affect later ones. */
    recordCall: (subject, call) => {
      const earlier = callsBySubject.get(subject) ?? [];
      const breach = findBreach(earlier, call);
      if (!call.isExempt) callsBySubject.set(subject, [...earlier, call]);
      return breach;
    },
  };
};

const states = {
  '01': 'established',
  '02': 'opening',
  '04': 'closing',
  '08': 'closed by the sender',
};

/** `127.0.0.1:80` as the kernel writes it; the bytes of the address are in reverse. */
const encodeAddress = (address) => {
  const [host, port] = address.split(':');
  const bytes = host.split('.').map((byte) => Number(byte).toString(16).padStart(2, '0'));
  return `${bytes.reverse().join('')}:${Number(port).toString(16).padStart(4, '0')}`.toUpperCase();
};

/**
 * Samples the connections to the workers. Each gets the instants at which it was first seen opening
 * established and with bytes that the worker's kernel has not taken (by the sender's end), and with
 * unread bytes (by the worker's end).
 */
export const createConnectionWatch = (sampleMilliseconds) => {
  const connections = new Map();
  const addresses = new Set();

  const connectionOf = (worker, port) => {
    const key = `${worker}/${parseInt(port, 16)}`;
    const connection = connections.get(key) ?? {};
    connections.set(key, connection);
    return connection;
  };

  const sampleLine = (line, now) => {
    const [, local, remote, state, queues] = line.trim().split(/\s+/);
    if (addresses.has(remote)) {
      const connection = connectionOf(remote, local.split(':')[1]);
      if (states[state] === 'opening') connection.openingAt ??= now;
      if (states[state] === 'established') connection.establishedAt ??= now;
      if (states[state] === 'closing') connection.closedAt ??= now;
      if (!queues.startsWith('00000000:') && states[state] !== 'opening') {
        connection.unsentAt ??= now;
      }
    } else if (addresses.has(local) && state !== '0A') {
      const connection = connectionOf(local, remote.split(':')[1]);
      if (!queues.endsWith(':00000000')) connection.bytesAt ??= now;
      if (states[state] === 'closed by the sender') connection.closedAt ??= now;
    }
  };

  const timer = setInterval(() => {
    const now = Date.now();
    readFile('/proc/net/tcp', 'utf8')
      .split('\n')
      .slice(1, -1)
      .forEach((line) => sampleLine(line, now));
  }, sampleMilliseconds);

  return {
    add: (address) => addresses.add(encodeAddress(address)),
    find: (address, remotePort) => connections.get(`${encodeAddress(address)}/${remotePort}`) ?? {},
    dispose: () => clearInterval(timer),
  };
};
