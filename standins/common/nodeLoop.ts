/**
 * The tick loop of a stand-in, which runs systems over tables with the production tick driver.
 */
import { monotonicClock } from '../../src/base/node/monotonicClock.js';
import type { AnyTable } from '../../src/infrastructure/tables/common/table.js';
import { createTicker, type System } from '../../src/infrastructure/tables/common/tick.js';
import {
  createTickDriver,
  type TickDriver,
} from '../../src/infrastructure/tables/node/tickDriver.js';

/**
 * Starts the loop. Throws if the systems of a tick do not settle, because that is a programming
 * error.
 */
export const startLoop = (tables: readonly AnyTable[], systems: readonly System[]): TickDriver =>
  createTickDriver(
    createTicker(tables, systems),
    monotonicClock,
    () => {},
    (error) => {
      throw new Error(error.message);
    },
  );
