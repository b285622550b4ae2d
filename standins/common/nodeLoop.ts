/**
 * The tick loop of a stand-in: systems over tables, driven by the product's own tick driver.
 */
import { monotonicClock } from '../../src/base/node/monotonicClock.js';
import type { AnyTable } from '../../src/infrastructure/tables/common/table.js';
import { createTicker, type System } from '../../src/infrastructure/tables/common/tick.js';
import {
  createTickDriver,
  type TickDriver,
} from '../../src/infrastructure/tables/node/tickDriver.js';

/** Starts the loop; a stand-in whose systems do not settle is a fault of its code and throws. */
export const startLoop = (tables: readonly AnyTable[], systems: readonly System[]): TickDriver =>
  createTickDriver(
    createTicker(tables, systems),
    monotonicClock,
    () => {},
    (error) => {
      throw new Error(error.message);
    },
  );
