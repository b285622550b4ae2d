/**
 * Bounds the number of connections of a process. If all are taken, the connection that is of the least
 * use gives way to a new one, so that callers which connect and do nothing keep no one else out.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import type { Instant, Milliseconds } from '../../../base/common/time.js';

export const ConnectionState = {
  /** No request has arrived yet. */
  Silent: 'silent',
  /** A request is arriving. */
  Arriving: 'arriving',
  /** A request runs, or its answer is written. */
  Running: 'running',
  /** An answer is complete, and the caller has not read all of it. */
  Unread: 'unread',
  /** All requests are answered. */
  Idle: 'idle',
} as const;
export type ConnectionState = ValueOf<typeof ConnectionState>;

/** Time in which a caller that behaves makes progress. */
const progressMilliseconds: Milliseconds = 1_000;

interface Yielding {
  /** Connections of a lower rank give way first. */
  readonly rank: number;
  /** Time for which the state has to last before. */
  readonly after: Milliseconds;
}

/**
 * When connections give way, by state; one with a running request never does. Idle ones are the last, as
 * most of them belong to callers that will use them again.
 */
const yieldingByState: Readonly<Record<ConnectionState, Yielding>> = {
  silent: { rank: 0, after: progressMilliseconds },
  arriving: { rank: 1, after: progressMilliseconds },
  unread: { rank: 2, after: progressMilliseconds },
  idle: { rank: 3, after: 0 },
  running: { rank: Infinity, after: Infinity },
};

/** One connection in the table. */
export interface ConnectionEntry {
  readonly setState: (state: ConnectionState, now: Instant) => void;
  readonly remove: () => void;
}

export interface ConnectionTable {
  /** Adds a connection; undefined if all are taken and none can give way. */
  readonly add: (onDidGiveWay: () => void, now: Instant) => ConnectionEntry | undefined;
  readonly size: () => number;
}

interface ConnectionRow {
  state: ConnectionState;
  changedAt: Instant;
  readonly onDidGiveWay: () => void;
}

const canGiveWay = ({ state, changedAt }: ConnectionRow, now: Instant): boolean =>
  now - changedAt >= yieldingByState[state].after;

const givesWayBefore = (first: ConnectionRow, second: ConnectionRow): boolean => {
  const difference = yieldingByState[first.state].rank - yieldingByState[second.state].rank;
  return difference === 0 ? first.changedAt < second.changedAt : difference < 0;
};

/** Creates the table of a process. */
export const createConnectionTable = (maximumConnections: number): ConnectionTable => {
  const rows = new Set<ConnectionRow>();

  const selectGivingWay = (now: Instant): ConnectionRow | undefined =>
    [...rows]
      .filter((row) => canGiveWay(row, now))
      .reduce<ConnectionRow | undefined>(
        (first, row) => (first === undefined || givesWayBefore(row, first) ? row : first),
        undefined,
      );

  const makeRoom = (now: Instant): boolean => {
    if (rows.size < maximumConnections) return true;
    const row = selectGivingWay(now);
    if (row === undefined) return false;
    rows.delete(row);
    row.onDidGiveWay();
    return true;
  };

  return {
    add: (onDidGiveWay, now) => {
      if (!makeRoom(now)) return undefined;
      const row: ConnectionRow = { state: ConnectionState.Silent, changedAt: now, onDidGiveWay };
      rows.add(row);
      return {
        setState: (state, changedAt) => Object.assign(row, { state, changedAt }),
        remove: () => {
          rows.delete(row);
        },
      };
    },
    size: () => rows.size,
  };
};
