/**
 * Passes what trainers ask at an entry without a disk on to a daemon that holds the ledger, so that any
 * entry serves any lot.
 */
import { Agent, type Dispatcher } from 'undici';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import { Role } from '../../../infrastructure/settings/common/deployment.js';
import { DaemonState } from '../../../service/membership/common/membershipTables.js';
import { createRefusal, RefusalKind } from '../../../service/traffic/common/refusal.js';
import type { World } from '../../../service/world/common/world.js';
import { errorResponse } from './errorResponse.js';

/** Passes requests on. */
export interface TrainerRelay extends AsyncDisposable {
  /** Whether this daemon holds no ledger and must pass on what trainers ask. */
  readonly isNeeded: () => boolean;
  readonly forward: (request: Request) => Promise<Response>;
}

const connectMilliseconds = 1_000;
const answerMilliseconds = 60_000;
const forwardedHeaders = ['authorization', 'content-type'];
const forwardedAnswerHeaders = ['content-type', 'retry-after'];

const headersOf = (request: Request): Record<string, string> =>
  Object.fromEntries(
    forwardedHeaders.flatMap((name) => {
      const value = request.headers.get(name);
      return value === null ? [] : [[name, value]];
    }),
  );

const answerHeadersOf = (answer: Dispatcher.ResponseData): Record<string, string> =>
  Object.fromEntries(
    forwardedAnswerHeaders.flatMap((name) => {
      const value = answer.headers[name];
      return value === undefined ? [] : [[name, String(value)]];
    }),
  );

/** Creates the relay of a daemon. */
export const createTrainerRelay = (world: World): TrainerRelay => {
  const agent = new Agent({
    connect: { timeout: connectMilliseconds },
    headersTimeout: answerMilliseconds,
    bodyTimeout: answerMilliseconds,
  });

  /** Daemons with the ledger, from a random one on, so that entries spread over them. */
  const targets = (): string[] => {
    const names = world.deployment.daemons
      .filter(({ roles }) => roles.includes(Role.Control))
      .map(({ name }) => name);
    const alive = [...world.daemons.rows()].filter(
      (daemon) => daemon.state === DaemonState.Alive && names.includes(daemon.id),
    );
    const offset = alive.length === 0 ? 0 : world.random.nextInteger(alive.length);
    return [...alive.slice(offset), ...alive.slice(0, offset)].map((row) => row.callerAddress);
  };

  const send = async (
    address: string,
    request: Request,
    body: string | null,
  ): Promise<Response> => {
    const { pathname, search } = new URL(request.url);
    const answer = await agent.request({
      origin: `http://${address}`,
      path: `${pathname}${search}`,
      method: request.method,
      headers: headersOf(request),
      body,
    });
    const headers = answerHeadersOf(answer);
    return new Response(await answer.body.text(), { status: answer.statusCode, headers });
  };

  return {
    isNeeded: () => !world.self.roles.includes(Role.Control),
    forward: async (request) => {
      const body = request.method === 'GET' ? null : await request.text();
      const [first] = targets();
      const refused = errorResponse(createRefusal(RefusalKind.LedgerUnavailable, false));
      return first === undefined ? refused : send(first, request, body).catch(() => refused);
    },
    dispose: () => agent.destroy(),
  };
};
