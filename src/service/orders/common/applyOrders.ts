/**
 * Applies the commands about orders to the agreed intents.
 */
import { err, ok } from 'neverthrow';
import { asBrand } from '../../../base/common/brand.js';
import type { ApplyHandlers } from '../../consensus/common/applyHandlers.js';
import type { World } from '../../world/common/world.js';
import type { OrderCommand } from './orderCommands.js';
import type { IntentRow, OrderId } from './orderTables.js';

/** Closed intents are kept for this many entries of the log, for those who look what became of them. */
const closedRetentionEntries = 4_096;

const removeOldIntents = (world: World, index: number): void =>
  [...world.intents.rows()]
    .filter((row) => row.result !== null && row.index < index - closedRetentionEntries)
    .forEach((row) => world.intents.remove(row.id));

const duplicateOrder = {
  kind: 'orderKnown',
  message: 'An order with this identifier is known; give each order an identifier of its own.',
};

const unknownOrder = {
  kind: 'unknownOrder',
  message: 'No open order has this identifier; it may have been closed already.',
};

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
