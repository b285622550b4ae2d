/**
 * Submits a decoded request to the tables and gives the response when its row has decided.
 */
import type { Clock, Instant } from '../../../base/common/time.js';
import { createArrivedRow } from '../../../service/traffic/common/arrivedRequest.js';
import type { ArrivedRequest, RequestRow } from '../../../service/traffic/common/trafficTables.js';
import type { RequestId } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';
import type { ExchangeRegistry, RequestContent } from '../../exchange/node/exchange.js';
import { createCallerExchange } from './callerExchange.js';

/** What a route has decoded of a request. */
export type DecodedRequest = Omit<ArrivedRequest, 'id' | 'sample' | 'internalWorkspace'>;

/** A request that was submitted. */
export interface Submission {
  readonly request: RequestId;
  readonly response: Promise<Response>;
}

/** Submits requests. */
export interface Submitter {
  readonly submit: (decoded: DecodedRequest, content: RequestContent) => Submission;
  /** The caller has closed the connection before the answer was whole. */
  readonly depart: (request: RequestId) => void;
}

/** The row of a request that a port has decoded and no system has seen. */
export const createRequestRow = (
  decoded: DecodedRequest,
  id: RequestId,
  now: Instant,
): RequestRow => createArrivedRow({ ...decoded, id, sample: null, internalWorkspace: null }, now);

/** Creates the submitter of a daemon. */
export const createSubmitter = (
  world: World,
  registry: ExchangeRegistry,
  clock: Clock,
  wake: () => void,
): Submitter => ({
  submit: (decoded, content) => {
    const id = world.identifiers.next<RequestId>('request');
    const { exchange, response } = createCallerExchange(content);
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
