/**
 * Waiting in the event loop of the process. Only ports wait; decisions store deadlines in rows.
 */
import type { Milliseconds } from '../common/time.js';

/** Resolves after `duration`. */
export const delay = (duration: Milliseconds): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, duration);
  });

/** Resolves when `work` has ended or `duration` has passed, and leaves no timer behind. */
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
