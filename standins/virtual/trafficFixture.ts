/**
 * Sends requests of callers in a virtual installation, for tests and benchmarks of traffic.
 */
import { asBrand } from '../../src/base/common/brand.js';
import { createArrivedRow } from '../../src/service/traffic/common/arrivedRequest.js';
import type { ArrivedRequest, RequestRow } from '../../src/service/traffic/common/trafficTables.js';
import type { RequestId, ServiceName } from '../../src/service/world/common/identifiers.js';
import { digestOf } from './testDeployment.js';
import type { VirtualInstallation } from './virtualInstallation.js';

/** The fields of a request that a test sets; the others have defaults. */
export interface TestRequest extends Partial<Omit<ArrivedRequest, 'id' | 'keyDigest'>> {
  /** The key of the caller, not its digest. */
  readonly key: string;
}

/** Inserts a request at an entry and ticks the entry. */
export const sendRequest = (
  installation: VirtualInstallation,
  entry: string,
  { key, ...overrides }: TestRequest,
): RequestId => {
  const { world } = installation.daemon(entry).core;
  const id = world.identifiers.next<RequestId>('request');
  const arrived: ArrivedRequest = {
    id,
    keyDigest: digestOf(key),
    service: asBrand<ServiceName>('model'),
    model: 'model',
    estimatedTokens: 100,
    sample: null,
    internalWorkspace: null,
    ...overrides,
  };
  world.requests.put(createArrivedRow(arrived, installation.now()));
  installation.wake(entry);
  return id;
};

/** The row of a request at an entry, if it exists. */
export const readRequest = (
  installation: VirtualInstallation,
  entry: string,
  request: RequestId,
): RequestRow | undefined => installation.daemon(entry).core.world.requests.get(request);

/** The instant at which the first attempt of a request started, or undefined. */
export const readFirstAttemptStart = (
  installation: VirtualInstallation,
  request: RequestId,
): number | undefined =>
  installation
    .events()
    .find((event) => event.kind === 'attemptStarted' && event.subject.request === request)?.at;
