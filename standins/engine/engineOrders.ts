/**
 * The orders that the model engine stand-in takes: checked against the fencing number, carried out once
 * by id, and answered the same again.
 */
import { asBrand } from '../../src/base/common/brand.js';
import type { EngineOrder, EngineState } from '../../src/service/protocol/common/engineProtocol.js';
import type { Counters } from '../common/counters.js';
import { createFencingCheck, olderFencing } from '../common/fencing.js';
import type { EngineCounter } from './engineSettings.js';
import type { EngineCondition, EngineConditionRow, OrderTable } from './engineTables.js';

/** What became of an order. */
export type OrderOutcome =
  { readonly kind: 'done'; readonly order: string } | ReturnType<typeof olderFencing>;

/** Takes orders. */
export interface EngineOrders {
  readonly take: (order: EngineOrder) => OrderOutcome;
  /** What is read back from the engine. */
  readonly state: () => EngineState;
}

const withName = (names: readonly string[], name: string): readonly string[] =>
  names.includes(name) ? names : [...names, name];

type Action = (
  condition: EngineConditionRow,
  target: string | number,
) => Partial<EngineConditionRow>;

const actions: Readonly<Record<EngineOrder['action'], Action>> = {
  loadWeights: (_condition, target) => ({ weightVersion: Number(target) }),
  loadAdapter: ({ adapters }, target) => ({ adapters: withName(adapters, String(target)) }),
  loadModel: ({ models }, target) => ({ models: withName(models, String(target)) }),
  changeRole: (_condition, target) => ({ role: String(target) }),
};

/** Creates the taker of orders over the condition of an engine. */
export const createEngineOrders = (
  condition: EngineCondition,
  done: OrderTable,
  checksFencing: boolean,
  counters: Counters<EngineCounter>,
): EngineOrders => {
  const fencing = createFencingCheck(checksFencing);

  const carryOut = (order: EngineOrder): OrderOutcome => {
    condition.change(actions[order.action](condition.read(), order.target));
    done.put({ ...order, id: asBrand(order.order) });
    counters.add('ordersDone');
    return { kind: 'done', order: order.order };
  };

  return {
    take: (order) => {
      if (done.has(asBrand(order.order))) {
        counters.add('ordersRepeated');
        return { kind: 'done', order: order.order };
      }
      if (fencing.admits(order.fencing)) return carryOut(order);
      counters.add('ordersRefused');
      return olderFencing(order.fencing, fencing.highest());
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
        ordersDone: Array.from(done.rows(), (row) => row.order),
      };
    },
  };
};
