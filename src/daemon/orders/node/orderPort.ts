/**
 * Sends orders to upstreams over HTTP and reads their state back. It checks the leader lease right
 * before each request; a response that does not arrive in time is an unknown outcome.
 */
import { Agent, request } from 'undici';
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

/** Connection error codes that imply that no byte of the request was written. */
const connectFailureCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const errorCodeOf = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : 'unknown';

const classifyStatus = (status: number): 'done' | 'refused' | 'unknown' => {
  if (status === refusedStatus) return 'refused';
  return status < 300 ? 'done' : 'unknown';
};

/** Creates the port. `wake` requests a tick. */
export const createOrderPort = (world: World, clock: Clock, wake: () => void): OrderPort => {
  const agent = new Agent({ connect: { timeout: connectTimeoutMilliseconds }, pipelining: 1 });

  const report = (fact: OrderFact): void => {
    world.orderFacts.append(fact);
    wake();
  };

  const createRequestOptions = () => ({
    dispatcher: agent,
    // A shared connection may still deliver the copy of an earlier answer, which names no order.
    reset: true,
    signal: AbortSignal.timeout(maximumOrderTransitMilliseconds),
    headers: { 'content-type': 'application/json' },
  });

  const handlers: HandlerTable<OrderRequest, Promise<OrderFact>> = {
    send: async ({ order, address, body }) => {
      const response = await request(`${address}${ordersPath}`, {
        ...createRequestOptions(),
        method: 'POST',
        body: JSON.stringify(body),
      });
      await response.body.dump();
      return { kind: classifyStatus(response.statusCode), order };
    },
    readBack: async ({ order, address }) => {
      const response = await request(`${address}${engineStatePath}`, createRequestOptions());
      const state = engineStateSchema.safeParse(await response.body.json());
      if (!state.success) return { kind: 'unknown', order };
      return { kind: 'state', order, ordersDone: state.data.ordersDone };
    },
  };

  const executeRequest = async (orderRequest: OrderRequest): Promise<void> => {
    if (!canActAsLeader(world, clock())) {
      report({ kind: 'notSent', order: orderRequest.order });
      return;
    }
    try {
      report(await dispatchByKind<OrderRequest, Promise<OrderFact>, []>(handlers, orderRequest));
    } catch (error) {
      const isPossiblySent = !connectFailureCodes.has(errorCodeOf(error));
      report({ kind: isPossiblySent ? 'unknown' : 'notSent', order: orderRequest.order });
    }
  };

  return {
    drain: () =>
      world.orderRequests.takeAll().forEach((orderRequest) => {
        void executeRequest(orderRequest);
      }),
    dispose: () => agent.destroy(),
  };
};
