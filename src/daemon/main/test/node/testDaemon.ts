/**
 * Opens a daemon on free ports, for tests over real sockets, and sends requests to it.
 */
import { request, type Dispatcher } from 'undici';
import { createLog } from '../../../../infrastructure/log/node/log.js';
import type { Deployment, Limits } from '../../../../infrastructure/settings/common/deployment.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import {
  UpstreamKind,
  UpstreamState,
} from '../../../../service/protocol/common/upstreamProtocol.js';
import { openDaemon, type Daemon } from '../../node/daemon.js';

const ephemeralAddress = '127.0.0.1:0';

const createDeployment = (limits: Partial<Limits>): Deployment => {
  const deployment = createTestDeployment(1, 0);
  return {
    ...deployment,
    limits: { ...deployment.limits, ...limits },
    timing: { ...deployment.timing, adviceMilliseconds: 1 },
    daemons: deployment.daemons.map((daemon) => ({
      ...daemon,
      callerAddress: ephemeralAddress,
      peerAddress: ephemeralAddress,
    })),
  };
};

/** Opens a daemon named `d1` with the test settings tree. */
export const openTestDaemon = async (limits: Partial<Limits> = {}): Promise<Daemon> => {
  const options = {
    deployment: createDeployment(limits),
    tree: createTestTree(),
    folder: '.',
    name: 'd1',
    log: createLog('d1', 'silent'),
  };
  const daemon = await openDaemon(options);
  return daemon._unsafeUnwrap();
};

/** Announces an upstream of the test tree at `address` (`host:port`). */
export const announceUpstream = (
  daemon: Daemon,
  upstream: string,
  address: string,
  kind: UpstreamKind,
  incarnation = 1,
): void => {
  const isEngine = kind === UpstreamKind.Engine;
  daemon.world.arrivedAnnouncements.append({
    announcement: {
      upstream,
      kind,
      service: isEngine ? 'model' : 'depot',
      address: `http://${address}`,
      zone: 'z1',
      incarnation,
      state: UpstreamState.Serving,
      models: isEngine ? ['model'] : [],
      adapters: [],
      weightVersion: null,
      reclaimable: false,
      checksFencing: false,
      resumesStreams: false,
      slots: 4,
      running: 0,
      remaining: 60_000,
    },
    isDirect: true,
  });
  daemon.wake();
};

/** Resolves when the daemon has at least `count` upstreams. */
export const waitForUpstreams = async (daemon: Daemon, count: number): Promise<void> => {
  while (daemon.world.upstreams.size() < count) {
    await new Promise<void>((resolve) => {
      setTimeout(resolve, 1);
    });
  }
};

/** A response with its body read as text. */
export interface ReadResponse {
  readonly status: number;
  readonly text: string;
  readonly headers: Dispatcher.ResponseData['headers'];
}

/** JSON body of an error response. */
export interface ErrorBody {
  readonly error: { readonly code: string; readonly message: string; readonly not_run: boolean };
}

/** Options of a test request; `key` is sent as a bearer token. */
export interface RequestOptions {
  readonly key?: string;
  readonly method?: Dispatcher.HttpMethod;
  readonly headers?: Record<string, string>;
}

/** Sends a request to a path of the daemon. */
export const sendRequest = async (
  daemon: Daemon,
  path: string,
  body: string | null,
  options: RequestOptions = {},
): Promise<ReadResponse> => {
  const response = await request(`http://${daemon.callerAddress}${path}`, {
    method: options.method ?? 'POST',
    headers: {
      'content-type': 'application/json',
      ...(options.key === undefined ? {} : { authorization: `Bearer ${options.key}` }),
      ...options.headers,
    },
    body,
  });
  const { statusCode: status, headers } = response;
  return { status, headers, text: await response.body.text() };
};

/** Parses the error body of a response. */
export const readError = (response: ReadResponse): ErrorBody['error'] =>
  (JSON.parse(response.text) as ErrorBody).error;
