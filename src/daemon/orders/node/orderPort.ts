/**
 * Sends orders to upstreams over HTTP and reads their state back. Each request has a connection of its
 * own. The leader lease is checked when it is established, right before the request is written; a
 * response that does not arrive in time is an unknown outcome, and the connection is reset, which
 * discards the bytes that have not arrived.
 */
import type { Socket } from 'node:net';
import { TLSSocket } from 'node:tls';
import { buildConnector, Client, type Dispatcher } from 'undici';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import type { Clock } from '../../../base/common/time.js';
import { maximumOrderTransitMilliseconds } from '../../../service/consensus/common/consensusTiming.js';
import { canActAsLeader } from '../../../service/consensus/common/lease.js';
import type { OrderFact, OrderRequest } from '../../../service/orders/common/orderTables.js';
import {
  engineStatePath,
  engineStateSchema,
  ordersPath,
} from '../../../service/protocol/common/engineProtocol.js';
import type { World } from '../../../service/world/common/world.js';

/** Executes order requests; `drain` runs after each tick. */
export interface OrderPort extends AsyncDisposable {
  readonly drain: () => void;
}

const connectTimeoutMilliseconds = 500;
const refusedStatus = 409;
const leaseEndedCode = 'leaseEnded';

/** Error codes that imply that no byte of the request was written. */
const connectFailureCodes = new Set([
  leaseEndedCode,
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const errorCodeOf = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : 'unknown';

/** A client for one request over one connection. */
interface OrderClient {
  readonly request: (options: Dispatcher.RequestOptions) => Promise<Dispatcher.ResponseData>;
  /** Closes the connection after the response. */
  readonly close: () => void;
  /** Resets the connection of a request that is given up. */
  readonly reset: () => void;
}

// The kernel of this machine goes on to deliver the bytes of a connection that is only closed.
const resetSocket = (socket: Socket): void => {
  if (socket.destroyed) return;
  if (socket instanceof TLSSocket) socket.destroy();
  else socket.resetAndDestroy();
};

/** Creates a client that writes only if `isAllowed` returns true once it is connected. */
const createOrderClient = (address: string, isAllowed: () => boolean): OrderClient => {
  const connect = buildConnector({ timeout: connectTimeoutMilliseconds });
  let openSocket: Socket | undefined;
  const client = new Client(new URL(address).origin, {
    pipelining: 1,
    connect: (options, callback) =>
      connect(options, (...connected) => {
        const [error, socket] = connected;
        if (error === null && !isAllowed()) {
          socket.destroy();
          callback(Object.assign(new Error('the lease has ended'), { code: leaseEndedCode }), null);
          return;
        }
        openSocket = socket ?? undefined;
        callback(...connected);
      }),
  });
  return {
    request: (options) => client.request(options),
    close: () => {
      void client.destroy();
    },
    reset: () => {
      if (openSocket !== undefined) resetSocket(openSocket);
      void client.destroy();
    },
  };
};

const classifyStatus = (status: number): 'done' | 'refused' | 'unknown' => {
  if (status === refusedStatus) return 'refused';
  return status < 300 ? 'done' : 'unknown';
};

/** Creates the port. `wake` requests a tick. */
export const createOrderPort = (world: World, clock: Clock, wake: () => void): OrderPort => {
  const openClients = new Set<OrderClient>();
  const isAllowed = (): boolean => canActAsLeader(world, clock());

  const report = (fact: OrderFact): void => {
    world.orderFacts.append(fact);
    wake();
  };

  const handlers: HandlerTable<OrderRequest, Promise<OrderFact>, [OrderClient]> = {
    send: async ({ order, body }, client) => {
      const response = await client.request({
        method: 'POST',
        path: ordersPath,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
      });
      await response.body.dump();
      return { kind: classifyStatus(response.statusCode), order };
    },
    readBack: async ({ order }, client) => {
      const response = await client.request({ method: 'GET', path: engineStatePath });
      const state = engineStateSchema.safeParse(await response.body.json());
      if (!state.success) return { kind: 'unknown', order };
      return { kind: 'state', order, ordersDone: state.data.ordersDone };
    },
  };

  const executeRequest = async (orderRequest: OrderRequest): Promise<void> => {
    if (!isAllowed()) {
      report({ kind: 'notSent', order: orderRequest.order });
      return;
    }
    const client = createOrderClient(orderRequest.address, isAllowed);
    openClients.add(client);
    const timer = setTimeout(client.reset, maximumOrderTransitMilliseconds);
    try {
      report(
        await dispatchByKind<OrderRequest, Promise<OrderFact>, [OrderClient]>(
          handlers,
          orderRequest,
          client,
        ),
      );
      client.close();
    } catch (error) {
      client.reset();
      const isPossiblySent = !connectFailureCodes.has(errorCodeOf(error));
      report({ kind: isPossiblySent ? 'unknown' : 'notSent', order: orderRequest.order });
    } finally {
      clearTimeout(timer);
      openClients.delete(client);
    }
  };

  return {
    drain: () =>
      world.orderRequests.takeAll().forEach((orderRequest) => {
        void executeRequest(orderRequest);
      }),
    dispose: () => {
      openClients.forEach((client) => client.reset());
      return Promise.resolve();
    },
  };
};
