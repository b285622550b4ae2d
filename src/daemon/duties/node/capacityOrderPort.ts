/**
 * The port of capacity orders: gives each order that is due, after a last look at the lease.
 */
import type { Disposable } from '../../../base/common/disposable.js';
import type { Clock } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import type {
  CapacityOrderId,
  CapacityOrderRow,
} from '../../../service/capacity/common/capacityTables.js';
import { canActAsLeader } from '../../../service/consensus/common/lease.js';
import type { World } from '../../../service/world/common/world.js';

/** Gives one order; resolves to null where it was accepted, and to the reason where not. */
export type SendCapacityOrder = (order: CapacityOrderRow, holder: string) => Promise<string | null>;

export interface CapacityOrderPort extends Disposable {
  readonly drain: () => void;
}

/** Creates the port. */
export const createCapacityOrderPort = (
  world: World,
  sendOrder: SendCapacityOrder,
  clock: Clock,
  wake: () => void,
): CapacityOrderPort => {
  const changes = world.capacityOrders.createChangeReader(RowReader.Port);

  const send = async (order: CapacityOrderRow): Promise<void> => {
    const { id, count } = order;
    const failureReason = canActAsLeader(world, clock())
      ? await sendOrder(order, world.fleet.holder)
      : 'lease lost';
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
