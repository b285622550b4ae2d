/**
 * Polls a condition in tests; without success the test runner times out.
 */
import { setTimeout as sleep } from 'node:timers/promises';

const pauseMilliseconds = 2;

/** Resolves when `condition` returns true. */
export const waitUntil = async (condition: () => boolean): Promise<void> => {
  while (!condition()) await sleep(pauseMilliseconds);
};
