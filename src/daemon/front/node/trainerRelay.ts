/**
 * Forwards trainer requests from other daemons to a control daemon, which stores the ledger. This
 * lets trainers use any daemon for any lot.
 */
import type { HonoRequest } from 'hono';
import { Agent, type Dispatcher } from 'undici';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import { Role } from '../../../infrastructure/settings/common/deployment.js';
import { createOrderlyConnector } from '../../../infrastructure/sockets/node/orderlyConnector.js';
import { DaemonState } from '../../../service/membership/common/membershipTables.js';
import { createRefusal, RefusalKind } from '../../../service/traffic/common/refusal.js';
import type { World } from '../../../service/world/common/world.js';
import { createErrorResponse } from './errorResponse.js';

/** Forwards trainer requests to control daemons. */
export interface TrainerRelay extends AsyncDisposable {
  /** Whether this daemon has no ledger and must forward trainer requests. */
  readonly isNeeded: () => boolean;
  readonly forward: (request: HonoRequest) => Promise<Response>;
}

const connectTimeoutMilliseconds = 1_000;
const responseTimeoutMilliseconds = 60_000;
const forwardedRequestHeaderNames = ['authorization', 'content-type'];
const forwardedResponseHeaderNames = ['content-type', 'retry-after'];

const selectRequestHeaders = (request: HonoRequest): Record<string, string> =>
  Object.fromEntries(
    forwardedRequestHeaderNames.flatMap((name) => {
      const value = request.header(name);
      return value === undefined ? [] : [[name, value]];
    }),
  );

const selectResponseHeaders = (response: Dispatcher.ResponseData): Record<string, string> =>
  Object.fromEntries(
    forwardedResponseHeaderNames.flatMap((name) => {
      const value = response.headers[name];
      return value === undefined ? [] : [[name, String(value)]];
    }),
  );

/** Creates the relay of a daemon. */
export const createTrainerRelay = (world: World): TrainerRelay => {
  const agent = new Agent({
    connect: createOrderlyConnector(connectTimeoutMilliseconds),
    headersTimeout: responseTimeoutMilliseconds,
    bodyTimeout: responseTimeoutMilliseconds,
  });

  /** Lists the addresses of live control daemons, starting at a random one to spread the load. */
  const listControlDaemonAddresses = (): string[] => {
    const controlDaemonNames = world.deployment.daemons
      .filter(({ roles }) => roles.includes(Role.Control))
      .map(({ name }) => name);
    const aliveControlDaemons = [...world.daemons.rows()].filter(
      (daemon) => daemon.state === DaemonState.Alive && controlDaemonNames.includes(daemon.id),
    );
    const offset =
      aliveControlDaemons.length === 0 ? 0 : world.random.nextInteger(aliveControlDaemons.length);
    return [...aliveControlDaemons.slice(offset), ...aliveControlDaemons.slice(0, offset)].map(
      (row) => row.callerAddress,
    );
  };

  const send = async (
    address: string,
    request: HonoRequest,
    body: string | null,
  ): Promise<Response> => {
    const { pathname, search } = new URL(request.url);
    const response = await agent.request({
      origin: `http://${address}`,
      path: `${pathname}${search}`,
      method: request.method,
      headers: selectRequestHeaders(request),
      body,
    });
    const headers = selectResponseHeaders(response);
    return new Response(await response.body.text(), { status: response.statusCode, headers });
  };

  return {
    isNeeded: () => !world.self.roles.includes(Role.Control),
    forward: async (request) => {
      const body = request.method === 'GET' ? null : await request.text();
      const [first] = listControlDaemonAddresses();
      const unavailableResponse = createErrorResponse(
        createRefusal(RefusalKind.LedgerUnavailable, false),
      );
      return first === undefined
        ? unavailableResponse
        : send(first, request, body).catch(() => unavailableResponse);
    },
    dispose: () => agent.destroy(),
  };
};
