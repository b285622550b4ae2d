/**
 * Submits decoded requests to the request table and returns their responses, which follow once
 * systems have processed the rows.
 */
import type { ServerResponse } from 'node:http';
import type { Clock, Instant } from '../../../base/common/time.js';
import { createArrivedRow } from '../../../service/traffic/common/arrivedRequest.js';
import type { ArrivedRequest, RequestRow } from '../../../service/traffic/common/trafficTables.js';
import type { RequestId } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';
import type { ExchangeRegistry, RequestContent } from '../../exchange/node/exchange.js';
import { createCallerExchange } from './callerExchange.js';

/** Request fields decoded by a route. */
export type DecodedRequest = Omit<ArrivedRequest, 'id' | 'sample' | 'internalWorkspace'>;

/** A submitted request and its response. */
export interface Submission {
  readonly request: RequestId;
  readonly response: Promise<Response>;
}

/** Submits requests. */
export interface Submitter {
  /** `outgoing` is the connection of the caller. */
  readonly submit: (
    decoded: DecodedRequest,
    content: RequestContent,
    outgoing: ServerResponse,
  ) => Submission;
  /** Reports that the caller closed its connection before the response was complete. */
  readonly depart: (request: RequestId) => void;
}

/** Creates the row of a decoded request that no system has processed yet. */
export const createRequestRow = (
  decoded: DecodedRequest,
  id: RequestId,
  now: Instant,
): RequestRow => createArrivedRow({ ...decoded, id, sample: null, internalWorkspace: null }, now);

/** Creates the submitter of a daemon. `wake` requests a tick. */
export const createSubmitter = (
  world: World,
  registry: ExchangeRegistry,
  clock: Clock,
  wake: () => void,
): Submitter => ({
  submit: (decoded, content, outgoing) => {
    const id = world.identifiers.next<RequestId>('request');
    const { exchange, response } = createCallerExchange(content, outgoing);
    registry.add(id, exchange);
    world.requests.put(
      createArrivedRow({ ...decoded, id, sample: null, internalWorkspace: null }, clock()),
    );
    wake();
    return { request: id, response };
  },
  depart: (request) => {
    if (registry.get(request) === undefined) return;
    world.departures.append(request);
    wake();
  },
});
