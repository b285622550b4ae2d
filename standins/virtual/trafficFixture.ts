/**
 * Requests of callers in a virtual installation, for tests and benches of traffic.
 */
import { asBrand } from '../../src/base/common/brand.js';
import { createArrivedRow } from '../../src/service/traffic/common/arrivedRequest.js';
import type { ArrivedRequest, RequestRow } from '../../src/service/traffic/common/trafficTables.js';
import type { RequestId, ServiceName } from '../../src/service/world/common/identifiers.js';
import { digestOf } from './testDeployment.js';
import type { VirtualInstallation } from './virtualInstallation.js';

/** What a test chooses of a request. */
export interface TestRequest extends Partial<Omit<ArrivedRequest, 'id' | 'keyDigest'>> {
  /** The key itself. */
  readonly key: string;
}

/** Sends a request to an entry and ticks it. */
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

/** The row of a request on an entry. */
export const readRequest = (
  installation: VirtualInstallation,
  entry: string,
  request: RequestId,
): RequestRow | undefined => installation.daemon(entry).core.world.requests.get(request);

/** When the first attempt of a request began, or undefined where none has. */
export const readFirstAttemptStart = (
  installation: VirtualInstallation,
  request: RequestId,
): number | undefined =>
  installation
    .events()
    .find((event) => event.kind === 'attemptStarted' && event.subject.request === request)?.at;
