/**
 * Sends capacity orders that systems have marked as in flight and reports each result to
 * `capacityFacts`. An order is sent only while this daemon holds the leader lease.
 */
import type { Disposable } from '../../../base/common/disposable.js';
import type { Clock } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import type {
  CapacityOrderId,
  CapacityOrderRow,
} from '../../../service/capacity/common/capacityTables.js';
import { canActWithToken } from '../../../service/consensus/common/lease.js';
import type { World } from '../../../service/world/common/world.js';

/**
 * Sends one order under the sender name `holder`, if `isAllowed` returns true right before the first
 * byte is written; resolves to null if it was accepted, otherwise to the failure reason.
 */
export type SendCapacityOrder = (
  order: CapacityOrderRow,
  holder: string,
  isAllowed: () => boolean,
) => Promise<string | null>;

/** Sends capacity orders; `drain` runs after each tick. */
export interface CapacityOrderPort extends Disposable {
  readonly drain: () => void;
}

/** Creates the port. `wake` requests a tick. */
export const createCapacityOrderPort = (
  world: World,
  sendOrder: SendCapacityOrder,
  clock: Clock,
  wake: () => void,
): CapacityOrderPort => {
  const changes = world.capacityOrders.createChangeReader(RowReader.Port);

  const send = async (order: CapacityOrderRow): Promise<void> => {
    const { id, count, fencing } = order;
    const isAllowed = (): boolean => canActWithToken(world, fencing, clock());
    const failureReason = isAllowed()
      ? await sendOrder(order, world.fleet.holder, isAllowed)
      : 'this daemon no longer holds the leader lease';
    world.capacityFacts.append(
      failureReason === null
        ? { kind: 'accepted', id, count }
        : { kind: 'failed', id, reason: failureReason },
    );
    wake();
  };

  const handleChange = (id: CapacityOrderId): void => {
    const order = world.capacityOrders.get(id);
    if (order?.isInFlight === true) void send(order);
  };

  return { drain: () => changes.take().forEach(handleChange), dispose: changes.dispose };
};
