/**
 * Waiting in tests: until something has become true, or until the test runner gives up.
 */
import { setTimeout as sleep } from 'node:timers/promises';

const pauseMilliseconds = 2;

/** Resolves once `isTrue` gives true. */
export const until = async (isTrue: () => boolean): Promise<void> => {
  while (!isTrue()) await sleep(pauseMilliseconds);
};
