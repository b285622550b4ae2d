/**
 * Reads the state of an engine for each weight order, and then sends the order once, as a request with
 * a fencing token. It reports both to `weightOrderFacts`. Without the leader lease it sends nothing.
 */
import type { IncomingMessage } from 'node:http';
import { createDisposable, type Disposable } from '../../../base/common/disposable.js';
import type { Clock } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { EventKind } from '../../../service/events/common/eventKind.js';
import { canActWithToken } from '../../../service/consensus/common/lease.js';
import type { UpstreamId } from '../../../service/world/common/identifiers.js';
import type { EventSubject } from '../../../infrastructure/timeline/common/timelineEvent.js';
import type { World } from '../../../service/world/common/world.js';
import type {
  WeightOrderName,
  WeightOrderPhase,
  WeightOrderReport,
  WeightOrderRow,
} from '../../../service/weights/common/versionTables.js';
import type { RegistrationRow } from '../../../service/registry/common/registryTables.js';
import { discardBody } from '../../forwarding/node/discardBody.js';
import { readBody } from '../../forwarding/node/readBody.js';
import { readHeaders, type UpstreamClient } from '../../forwarding/node/upstreamClient.js';
import type { UpstreamDialect } from '../../forwarding/node/upstreamDialect.js';
import { createFencedSender } from './fencedRequests.js';

/** Sends weight orders; `drain` runs after each tick. */
export interface WeightOrderPort extends Disposable {
  readonly drain: () => void;
}

/** The request of an order in its current phase. */
interface OpenOrder {
  readonly order: WeightOrderName;
  readonly phase: WeightOrderPhase;
  readonly request: Disposable;
}

const describeOrder = ({ id, order, model, version, fencing }: WeightOrderRow): EventSubject => ({
  upstream: id,
  order,
  model,
  version,
  fencing,
});

/** Largest body with the state of an engine; it names the models of the engine with their adapters. */
const maximumStateBytes = 64 * 1024;
const successStatus = 200;

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
  const canSend = ({ fencing }: WeightOrderRow): boolean =>
    canActWithToken(world, fencing, clock());
  const changes = world.weightOrders.createChangeReader(RowReader.Port);

  const report = ({ id, order }: WeightOrderRow, result: WeightOrderReport): void => {
    world.weightOrderFacts.append({ upstream: id, order, ...result });
    wake();
  };

  const readHead = (response: IncomingMessage, { id, startedAt }: RegistrationRow) => {
    const head = { status: response.statusCode ?? 0, headers: readHeaders(response) };
    if (dialect.isLeaving(head)) world.leavingFacts.append({ upstream: id, startedAt });
    return head;
  };

  const readState = (order: WeightOrderRow, upstream: RegistrationRow): Disposable =>
    sendFenced(
      {
        address: upstream.address,
        content: dialect.stateRequest,
        isAllowed: () => canSend(order),
      },
      {
        onDidWrite: () => {},
        onDidReceiveResponse: (response) => {
          const { status } = readHead(response, upstream);
          readBody(response, maximumStateBytes, (body) => {
            const state =
              body === null || status !== successStatus ? null : dialect.decodeState(body);
            report(order, state === null ? { kind: 'notRead' } : { kind: 'read', ...state });
          });
        },
        onDidFail: () => report(order, { kind: 'notRead' }),
      },
    );

  const sendOrder = (order: WeightOrderRow, upstream: RegistrationRow): Disposable => {
    const { path, headers, body } = dialect.encodeOrder(order, world.fleet.holder);
    const content = { method: 'POST', path, headers, body: Buffer.from(body) };
    const subject = { ...describeOrder(order), address: upstream.address };
    let isWritten = false;
    let hasEnded = false;
    const connection = sendFenced(
      { address: upstream.address, content, isAllowed: () => canSend(order) },
      {
        onDidWrite: () => {
          isWritten = true;
          world.events.append({ kind: EventKind.WeightOrderSent, subject });
        },
        onDidReceiveResponse: (response) => {
          hasEnded = true;
          const { status } = readHead(response, upstream);
          discardBody(response);
          report(order, { kind: dialect.classifyOrderStatus(status) });
        },
        onDidFail: () => {
          hasEnded = true;
          report(order, { kind: isWritten ? 'unknown' : 'refused' });
        },
      },
    );
    return createDisposable(() => {
      connection.dispose();
      if (hasEnded) return;
      world.events.append({
        kind: EventKind.WeightOrderAbandoned,
        subject: { ...subject, isWritten },
      });
    });
  };

  const requestsByPhase: Readonly<
    Record<WeightOrderPhase, (order: WeightOrderRow, upstream: RegistrationRow) => Disposable>
  > = { read: readState, send: sendOrder };

  const startRequest = (order: WeightOrderRow): void => {
    const upstream = world.registrations.get(order.id);
    if (upstream === undefined || !canSend(order)) return;
    const request = requestsByPhase[order.phase](order, upstream);
    openOrders.set(order.id, { order: order.order, phase: order.phase, request });
  };

  const handleChange = (id: UpstreamId): void => {
    const order = world.weightOrders.get(id);
    const openOrder = openOrders.get(id);
    if (openOrder?.order === order?.order && openOrder?.phase === order?.phase) return;
    // An order that expires is replaced within one tick, so its row is never seen to be absent.
    openOrder?.request.dispose();
    openOrders.delete(id);
    if (order !== undefined) startRequest(order);
  };

  return {
    drain: () => changes.take().forEach(handleChange),
    dispose: () => {
      changes.dispose();
      openOrders.forEach(({ request }) => request.dispose());
    },
  };
};
