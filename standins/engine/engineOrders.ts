/**
 * Order execution of the model engine stand-in. Orders are checked against the fencing token and
 * executed once per identifier; repeated orders get the same answer.
 */
import { asBrand } from '../../src/base/common/brand.js';
import type { EngineOrder, EngineState } from '../../src/service/protocol/common/engineProtocol.js';
import type { Counters } from '../common/counters.js';
import { createFencingCheck, createFencingRefusal } from '../common/fencing.js';
import type { EngineCounter } from './engineSettings.js';
import type { EngineCondition, EngineConditionRow, OrderTable } from './engineTables.js';

/** The outcome of an order. */
export type OrderOutcome =
  { readonly kind: 'done'; readonly order: string } | ReturnType<typeof createFencingRefusal>;

/** Executes orders. */
export interface EngineOrders {
  readonly handleOrder: (order: EngineOrder) => OrderOutcome;
  /** The state that clients can read back from the engine. */
  readonly state: () => EngineState;
}

const addIfMissing = (names: readonly string[], name: string): readonly string[] =>
  names.includes(name) ? names : [...names, name];

type Action = (
  condition: EngineConditionRow,
  target: string | number,
) => Partial<EngineConditionRow>;

const actions: Readonly<Record<EngineOrder['action'], Action>> = {
  loadWeights: (_condition, target) => ({ weightVersion: Number(target) }),
  loadAdapter: ({ adapters }, target) => ({ adapters: addIfMissing(adapters, String(target)) }),
  loadModel: ({ models }, target) => ({ models: addIfMissing(models, String(target)) }),
  changeRole: (_condition, target) => ({ role: String(target) }),
};

/** Creates the order execution for the condition of an engine. */
export const createEngineOrders = (
  condition: EngineCondition,
  executedOrders: OrderTable,
  checksFencing: boolean,
  counters: Counters<EngineCounter>,
): EngineOrders => {
  const fencing = createFencingCheck(checksFencing);

  const executeOrder = (order: EngineOrder): OrderOutcome => {
    condition.change(actions[order.action](condition.read(), order.target));
    executedOrders.put({ ...order, id: asBrand(order.order) });
    counters.add('ordersDone');
    return { kind: 'done', order: order.order };
  };

  return {
    handleOrder: (order) => {
      if (executedOrders.has(asBrand(order.order))) {
        counters.add('ordersRepeated');
        return { kind: 'done', order: order.order };
      }
      if (fencing.admits(order.fencing)) return executeOrder(order);
      counters.add('ordersRefused');
      return createFencingRefusal(order.fencing, fencing.highest());
    },
    state: () => {
      const { incarnation, weightVersion, models, adapters, role } = condition.read();
      return {
        incarnation,
        weightVersion,
        models: [...models],
        adapters: [...adapters],
        role,
        highestFencing: fencing.highest(),
        ordersDone: Array.from(executedOrders.rows(), (row) => row.order),
      };
    },
  };
};
