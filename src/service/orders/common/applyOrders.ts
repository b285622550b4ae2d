/**
 * Applies committed order commands to the replicated intents. Runs on every control daemon and may
 * depend only on replicated rows and the log entry.
 */
import { err, ok } from 'neverthrow';
import { asBrand } from '../../../base/common/brand.js';
import type { ApplyHandlers } from '../../consensus/common/applyHandlers.js';
import type { World } from '../../world/common/world.js';
import type { OrderCommand } from './orderCommands.js';
import type { IntentRow, OrderId } from './orderTables.js';

/**
 * Closed intents are kept for this number of log entries, so that their results can be looked up.
 */
const closedRetentionEntries = 4_096;

const removeOldIntents = (world: World, index: number): void =>
  [...world.intents.rows()]
    .filter((row) => row.result !== null && row.index < index - closedRetentionEntries)
    .forEach((row) => world.intents.remove(row.id));

const duplicateOrder = {
  kind: 'orderKnown',
  message: 'An order with this identifier already exists; use a unique identifier for each order.',
};

const unknownOrder = {
  kind: 'unknownOrder',
  message: 'No open order has this identifier; it may already have been closed.',
};

/** Handlers of committed order commands, by `kind`. */
export const orderApplyHandlers: ApplyHandlers<OrderCommand> = {
  orderIntended: ({ order, upstream, action, target }, world, { index }) => {
    const id = asBrand<OrderId>(order);
    if (world.intents.has(id)) return err(duplicateOrder);
    removeOldIntents(world, index);
    const row: IntentRow = {
      id,
      index,
      upstream: asBrand(upstream),
      action,
      target,
      result: null,
    };
    world.intents.put(row);
    return ok(undefined);
  },
  orderClosed: ({ order, result }, world) => {
    const row = world.intents.get(asBrand<OrderId>(order));
    if (row === undefined || row.result !== null) return err(unknownOrder);
    world.intents.change(row.id, { result });
    return ok(undefined);
  },
};
