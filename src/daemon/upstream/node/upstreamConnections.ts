/**
 * Connections to upstreams, and the rule of which answer belongs to which attempt. An upstream may
 * send a second copy of an answer at any later time on the same connection. So a connection carries
 * several requests only while the upstream names the attempt in each answer; otherwise each request
 * has a connection of its own, on which no other answer can arrive.
 */
import { Agent, type Dispatcher } from 'undici';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import { createOrderlyConnector } from '../../../infrastructure/sockets/node/orderlyConnector.js';
import type { Metrics } from '../../../infrastructure/metrics/common/metrics.js';
import { attemptHeader } from '../../../service/protocol/common/engineProtocol.js';
import type { AttemptId } from '../../../service/world/common/identifiers.js';
import { isFinalStatus } from '../../forwarding/node/upstreamClient.js';

/** Method, path, headers, body, signal and callback of a request. */
export type UpstreamRequestOptions = Omit<Dispatcher.RequestOptions, 'origin' | 'reset'>;

/** Sends requests to upstreams. */
export interface UpstreamConnections extends AsyncDisposable {
  /**
   * Sends the request of an attempt to the upstream at `address` (a base address); resolves to null
   * if the answer belongs to another request, and rejects if the connection fails.
   */
  readonly send: (
    address: string,
    attempt: AttemptId,
    options: UpstreamRequestOptions,
  ) => Promise<Dispatcher.ResponseData | null>;
}

const connectTimeoutMilliseconds = 2_000;
const noTimeout = 0;

const agentOptions: Agent.Options = {
  connect: createOrderlyConnector(connectTimeoutMilliseconds),
  headersTimeout: noTimeout,
  bodyTimeout: noTimeout,
  pipelining: 1,
};

/** Opens no connection yet. */
export const createUpstreamConnections = (metrics: Metrics): UpstreamConnections => {
  const pooledAgent = new Agent(agentOptions);
  const singleUseAgent = new Agent(agentOptions);
  /** Addresses of the upstreams whose latest answer named its attempt, with a final status. */
  const namingAddresses = new Set<string>();

  return {
    send: async (address, attempt, options) => {
      const isPooled = namingAddresses.has(address);
      const response = await (isPooled ? pooledAgent : singleUseAgent).request({
        ...options,
        origin: address,
        headers: { ...options.headers, [attemptHeader]: attempt },
        reset: !isPooled,
      });
      const named = response.headers[attemptHeader];
      const isNamed = named === attempt && isFinalStatus(response.statusCode);
      if (isNamed) namingAddresses.add(address);
      else namingAddresses.delete(address);
      const isForeign = named !== undefined && named !== attempt;
      if (isNamed || (!isPooled && !isForeign)) return response;
      const reason = isForeign ? 'names another attempt' : 'names no attempt';
      metrics.count('responses.foreign', 1, { sender: 'attempt', reason });
      // Destroying an unread body closes its connection.
      response.body.on('error', () => {}).destroy();
      return null;
    },
    dispose: async () => {
      await Promise.all([pooledAgent.destroy(), singleUseAgent.destroy()]);
    },
  };
};
