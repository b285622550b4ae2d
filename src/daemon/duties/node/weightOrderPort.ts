/**
 * Sends each weight order to its engine once, as a request with a fencing token, and reports the
 * outcome to `weightOrderFacts`. Without the leader lease it sends nothing.
 */
import type { IncomingMessage } from 'node:http';
import type { Disposable } from '../../../base/common/disposable.js';
import type { Clock } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { EventKind } from '../../../service/events/common/eventKind.js';
import { canActAsLeader } from '../../../service/consensus/common/lease.js';
import type { UpstreamId } from '../../../service/world/common/identifiers.js';
import type { EventSubject } from '../../../infrastructure/timeline/common/timelineEvent.js';
import type { World } from '../../../service/world/common/world.js';
import type {
  WeightOrderName,
  WeightOrderFact,
  WeightOrderRow,
} from '../../../service/weights/common/versionTables.js';
import type { UpstreamStart } from '../../../service/registry/common/registryTables.js';
import { discardBody } from '../../forwarding/node/discardBody.js';
import { createFencedSender } from './fencedRequests.js';
import { readHeaders, type UpstreamClient } from '../../forwarding/node/upstreamClient.js';
import type { UpstreamDialect } from '../../forwarding/node/upstreamDialect.js';

/** Sends weight orders; `drain` runs after each tick. */
export interface WeightOrderPort extends Disposable {
  readonly drain: () => void;
}

/** An order that was handed to the client; `subject` describes it in events. */
interface OpenOrder {
  readonly order: WeightOrderName;
  readonly subject: EventSubject;
  readonly state: { readonly isWritten: boolean; readonly isEnded: boolean };
  readonly connection: Disposable;
}

const describeOrder = ({ id, order, model, version, fencing }: WeightOrderRow): EventSubject => ({
  upstream: id,
  order,
  model,
  version,
  fencing,
});

/** Creates the port. `wake` requests a tick. */
export const createWeightOrderPort = (
  world: World,
  client: UpstreamClient,
  dialect: UpstreamDialect,
  clock: Clock,
  wake: () => void,
): WeightOrderPort => {
  const openOrders = new Map<UpstreamId, OpenOrder>();
  const sendFenced = createFencedSender(client, clock);
  const isAllowed = (): boolean => canActAsLeader(world, clock());
  const changes = world.weightOrders.createChangeReader(RowReader.Port);

  const report = (order: WeightOrderRow, kind: WeightOrderFact['kind']): void => {
    world.weightOrderFacts.append({ upstream: order.id, order: order.order, kind });
    wake();
  };

  const handleResponse = (
    order: WeightOrderRow,
    start: UpstreamStart,
    response: IncomingMessage,
  ): void => {
    const head = { status: response.statusCode ?? 0, headers: readHeaders(response) };
    if (dialect.isLeaving(head)) world.leavingFacts.append(start);
    discardBody(response);
    report(order, dialect.classifyOrderStatus(head.status));
  };

  const send = (order: WeightOrderRow): void => {
    const upstream = world.registrations.get(order.id);
    if (upstream === undefined || !isAllowed()) return;
    const { path, headers, body } = dialect.encodeOrder(order, world.fleet.holder);
    const content = { method: 'POST', path, headers, body: Buffer.from(body) };
    const start = { upstream: upstream.id, startedAt: upstream.startedAt };
    const subject = { ...describeOrder(order), address: upstream.address };
    const state = { isWritten: false, isEnded: false };
    const connection = sendFenced(
      { address: upstream.address, content, isAllowed },
      {
        onDidWrite: () => {
          state.isWritten = true;
          world.events.append({ kind: EventKind.WeightOrderSent, subject });
        },
        onDidReceiveResponse: (response) => {
          state.isEnded = true;
          handleResponse(order, start, response);
        },
        onDidFail: (_, isWritten) => {
          state.isEnded = true;
          report(order, isWritten ? 'unknown' : 'refused');
        },
      },
    );
    openOrders.set(order.id, { order: order.order, subject, state, connection });
  };

  const abandon = ({ subject, state, connection }: OpenOrder): void => {
    connection.dispose();
    if (state.isEnded) return;
    const { isWritten } = state;
    world.events.append({
      kind: EventKind.WeightOrderAbandoned,
      subject: { ...subject, isWritten },
    });
  };

  const handleChange = (id: UpstreamId): void => {
    const order = world.weightOrders.get(id);
    const openOrder = openOrders.get(id);
    if (openOrder !== undefined && openOrder.order === order?.order) return;
    // An order that expires is replaced within one tick, so its row is never seen to be absent.
    if (openOrder !== undefined) abandon(openOrder);
    openOrders.delete(id);
    if (order !== undefined) send(order);
  };

  return {
    drain: () => changes.take().forEach(handleChange),
    dispose: () => {
      changes.dispose();
      openOrders.forEach(({ connection }) => connection.dispose());
    },
  };
};
