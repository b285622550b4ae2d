/**
 * Creates cores and fills them with rows of one kind, for measurements of memory and processor time.
 */
import { asBrand } from '../../src/base/common/brand.js';
import { createRandom } from '../../src/base/common/random.js';
import { noopMetrics } from '../../src/infrastructure/metrics/common/metrics.js';
import type { Tree } from '../../src/service/configuration/common/tree.js';
import { createCore, type Core } from '../../src/service/core/common/core.js';
import type { Announcement } from '../../src/service/protocol/common/upstreamProtocol.js';
import { createArrivedRow } from '../../src/service/traffic/common/arrivedRequest.js';
import type { RequestId, ServiceName } from '../../src/service/world/common/identifiers.js';
import {
  createTestDeployment,
  createTestTree,
  digestOf,
} from '../../standins/virtual/testDeployment.js';

const announcementLifetimeMilliseconds = 1e9;
const seed = 11;
const keyDigest = digestOf('key-one');

/** Creates the core of the first of `daemons` daemons, all of which are entries. */
export const createBenchCore = (daemons: number, tree: Tree = createTestTree()): Core => {
  const deployment = createTestDeployment(daemons, 0);
  return createCore(
    {
      deployment,
      self: deployment.daemons[0]!,
      tree,
      incarnation: 1,
      random: createRandom(seed),
      metrics: noopMetrics,
    },
    0,
  );
};

/** Creates the announcement of a serving engine; `index` determines its name, address and zone. */
export const createAnnouncement = (index: number): Announcement => ({
  upstream: `upstream-${index}`,
  kind: 'engine',
  service: 'model',
  address: `http://127.0.0.1:${10_000 + index}`,
  zone: `z${(index % 3) + 1}`,
  incarnation: 1,
  state: 'serving',
  models: ['model'],
  adapters: [],
  weightVersion: 1,
  reclaimable: false,
  checksFencing: true,
  resumesStreams: false,
  slots: 8,
  running: 0,
  remaining: announcementLifetimeMilliseconds,
});

/** Adds `count` upstreams through announcements that are relayed by another daemon. */
export const addUpstreams = ({ world, ticker }: Core, count: number): void => {
  for (let index = 0; index < count; index += 1) {
    world.arrivedAnnouncements.append({ isDirect: false, announcement: createAnnouncement(index) });
  }
  ticker.tick(0);
};

/** Adds `count` requests of one caller as a port does, and runs one tick. */
export const addRequests = ({ world, ticker }: Core, count: number, now: number): void => {
  for (let index = 0; index < count; index += 1) {
    const requestFields = {
      id: world.identifiers.next<RequestId>('request'),
      keyDigest,
      service: asBrand<ServiceName>('model'),
      estimatedTokens: 64,
      sample: null,
      internalWorkspace: null,
    };
    world.requests.put(createArrivedRow(requestFields, now));
  }
  ticker.tick(now);
  world.events.takeAll();
};
