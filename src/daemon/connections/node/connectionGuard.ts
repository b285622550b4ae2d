/**
 * Bounds the connections of a listener: adds each one to the table of the process, closes those that give
 * way, and refuses those for which there is no room.
 */
import type { Server, Socket } from 'node:net';
import type { Clock } from '../../../base/common/time.js';
import type { Metrics } from '../../../infrastructure/metrics/common/metrics.js';
import type {
  ConnectionEntry,
  ConnectionState,
  ConnectionTable,
} from '../../../service/admission/common/connectionTable.js';

/** What a listener has to know for its connections. */
export interface GuardOptions {
  readonly table: ConnectionTable;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Ends a connection for which there is no room. */
  readonly refuse: (socket: Socket) => void;
}

export interface ConnectionGuard {
  /** Guards the connections of a server from now on. */
  readonly attach: (server: Server) => void;
  /** Records what a connection does; those that were refused are ignored. */
  readonly recordState: (socket: Socket, state: ConnectionState) => void;
}

/** Creates the guard of one listener. */
export const createConnectionGuard = ({
  table,
  clock,
  metrics,
  refuse,
}: GuardOptions): ConnectionGuard => {
  const entries = new WeakMap<Socket, ConnectionEntry>();

  const handleConnection = (socket: Socket): void => {
    const giveWay = (): void => {
      metrics.count('connections.gaveWay');
      socket.destroy();
    };
    const entry = table.add(giveWay, clock());
    if (entry === undefined) {
      metrics.count('connections.refused');
      refuse(socket);
      return;
    }
    entries.set(socket, entry);
    socket.once('close', entry.remove);
  };

  return {
    attach: (server) => {
      server.prependListener('connection', handleConnection);
    },
    recordState: (socket, state) => entries.get(socket)?.setState(state, clock()),
  };
};
