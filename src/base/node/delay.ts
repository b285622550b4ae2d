/**
 * Timer-based waiting for ports. Systems must not wait; they store deadlines in rows.
 */
import type { Milliseconds } from '../common/time.js';

/** Resolves after `duration` milliseconds. */
export const delay = (duration: Milliseconds): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, duration);
  });

/** Resolves when `operation` settles or `duration` has elapsed; the timer is always cleared. */
export const waitWithTimeout = async (
  operation: Promise<unknown>,
  duration: Milliseconds,
): Promise<void> => {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, duration);
  });
  await Promise.race([operation, timeout]);
  clearTimeout(timer);
};
