/**
 * The port of weight orders: sends each order once, after a last look at the lease, and reports what the
 * engine answered.
 */
import type { IncomingMessage } from 'node:http';
import type { Disposable } from '../../../base/common/disposable.js';
import type { Clock } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { canActAsLeader } from '../../../service/consensus/common/lease.js';
import type { UpstreamId } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';
import type {
  WeightOrderName,
  WeightOrderFact,
  WeightOrderRow,
} from '../../../service/weights/common/versionTables.js';
import type { UpstreamClient } from '../../forwarding/node/upstreamClient.js';
import type { UpstreamDialect } from '../../forwarding/node/upstreamDialect.js';

export interface WeightOrderPort extends Disposable {
  readonly drain: () => void;
}

interface OpenOrder {
  readonly order: WeightOrderName;
  readonly connection: Disposable;
}

/** Creates the port. */
export const createWeightOrderPort = (
  world: World,
  client: UpstreamClient,
  dialect: UpstreamDialect,
  clock: Clock,
  wake: () => void,
): WeightOrderPort => {
  const openOrders = new Map<UpstreamId, OpenOrder>();
  const changes = world.weightOrders.createChangeReader(RowReader.Port);

  const report = (order: WeightOrderRow, kind: WeightOrderFact['kind']): void => {
    world.weightOrderFacts.append({ upstream: order.id, order: order.order, kind });
    wake();
  };

  const handleResponse = (order: WeightOrderRow, response: IncomingMessage): void => {
    response.on('error', () => response.destroy());
    response.resume();
    report(order, dialect.classifyOrderStatus(response.statusCode ?? 0));
  };

  const send = (order: WeightOrderRow): void => {
    const upstream = world.registrations.get(order.id);
    if (upstream === undefined || !canActAsLeader(world, clock())) return;
    const { path, headers, body } = dialect.encodeOrder(order, world.fleet.holder);
    const content = { method: 'POST', path, headers, body: Buffer.from(body) };
    const connection = client.send(
      { address: upstream.address, content, headers: {} },
      {
        onDidReceiveResponse: (response) => handleResponse(order, response),
        onDidFail: (_, isNotRun) => report(order, isNotRun ? 'refused' : 'unknown'),
      },
    );
    openOrders.set(order.id, { order: order.order, connection });
  };

  const handleChange = (id: UpstreamId): void => {
    const order = world.weightOrders.get(id);
    const openOrder = openOrders.get(id);
    if (order === undefined) {
      openOrder?.connection.dispose();
      openOrders.delete(id);
    } else if (openOrder?.order !== order.order) send(order);
  };

  return {
    drain: () => changes.take().forEach(handleChange),
    dispose: () => {
      changes.dispose();
      openOrders.forEach(({ connection }) => connection.dispose());
    },
  };
};
