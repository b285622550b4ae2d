/**
 * Guards against a trainer response without the texts that arrived from another daemon in the same
 * tick, which occurs if fetches are drained before bodies.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createRandom } from '../../../../base/common/random.js';
import { noopMetrics } from '../../../../infrastructure/metrics/common/metrics.js';
import { createCore } from '../../../../service/core/common/core.js';
import { readBody } from '../../../../service/rollout/common/bodySystem.js';
import { FetchState, type FetchRow } from '../../../../service/rollout/common/runRows.js';
import type {
  BatchId,
  BodyId,
  FetchId,
  LotId,
} from '../../../../service/world/common/identifiers.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import type { BodyStore } from '../../common/bodyStore.js';
import { createRolloutPorts } from '../../node/rolloutPorts.js';

const body = asBrand<BodyId>('sample-1@attempt-1');
const lot = asBrand<LotId>('lot-1');
const content = 'the text';

const emptyStore: BodyStore = {
  write: () => {},
  read: (_, __, onDidRead) => onDidRead(undefined),
  deleteLot: () => {},
};

const createDaemon = () => {
  const deployment = createTestDeployment(3, 3);
  const core = createCore(
    {
      deployment,
      self: deployment.daemons[0]!,
      tree: createTestTree(),
      incarnation: 1,
      random: createRandom(1),
      metrics: noopMetrics,
    },
    0,
  );
  const ports = createRolloutPorts(
    core.world,
    emptyStore,
    () => 0,
    () => {},
  );
  return { ...core, ports };
};

const collectingFetch = (id: FetchId): FetchRow => ({
  id,
  lot,
  workspace: asBrand('one'),
  cursor: 0,
  trainerVersion: 1,
  state: FetchState.Collecting,
  fetchDeadline: 1_000,
  ledgerDeadline: 1_000,
  batch: asBrand<BatchId>('lot-1/0'),
  isConfirmed: true,
});

test('a response is created after the texts received in the same tick are in memory', async (t) => {
  const { world, ticker, ports } = createDaemon();
  const id = world.identifiers.next<FetchId>('fetch');
  const answer = ports.fetches.fetch(collectingFetch(id), ({ state }) => ({
    state,
    text: ports.bodies.getContent(body),
  }));
  readBody(world, id, { body, lot, holders: [asBrand('d2')] }, 0);
  ticker.tick(0);
  ports.drain();
  world.incomingMessages.append({
    from: asBrand('d2'),
    message: { kind: 'bodyGiven', body, content },
  });
  ticker.tick(1);
  ports.drain();
  t.deepEqual(await answer, { state: FetchState.Ready, text: content });
  ticker.tick(2);
  ports.drain();
  t.is(ports.bodies.size(), 0);
});
