/**
 * Waiting in tests: until something has become true, or until the test runner gives up.
 */
import { setTimeout as sleep } from 'node:timers/promises';

const pauseMilliseconds = 2;

/** Resolves once `isTrue` gives true. */
export const waitUntil = async (condition: () => boolean): Promise<void> => {
  while (!condition()) await sleep(pauseMilliseconds);
};
