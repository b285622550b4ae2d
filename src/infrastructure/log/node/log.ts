/**
 * The log of a process. It records decisions and state changes; frequent events are counted in
 * metrics instead. A queued log never blocks the process: lines are buffered in a queue of bounded
 * size, and lines that do not fit are dropped and counted.
 */
import { destination, pino, type Logger } from 'pino';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import type { ValueOf } from '../../../base/common/handlers.js';
import type { Milliseconds } from '../../../base/common/time.js';
import { waitWithTimeout } from '../../../base/node/delay.js';

export type Log = Logger;

/** File descriptors to which a process can write its log. */
export const LogDescriptor = { StandardOutput: 1, StandardError: 2 } as const;
export type LogDescriptor = ValueOf<typeof LogDescriptor>;

/**
 * A log whose lines are written asynchronously. Disposing of it waits until the queued lines are
 * written, for a limited time if the reader has stalled.
 */
export interface QueuedLog extends AsyncDisposable {
  readonly log: Log;
  /** Returns the number of lines dropped since the last call. */
  readonly takeDroppedCount: () => number;
}

/**
 * Size of the queue: more than five seconds of request events at their budget of 48 KiB per second.
 */
const maximumQueueBytes = 256 * 1024;

/** The stream can wait for a write in flight only if it may hold back at least one byte. */
const minimumWriteBytes = 1;

/** Time allowed for the queued lines at a stop; a supervisor kills a process that takes longer. */
const flushTimeoutMilliseconds: Milliseconds = 500;

/** Creates a synchronous log; lines are JSON and are written before the logging call returns. */
export const createLog = (
  processName: string,
  level: string,
  descriptor: LogDescriptor = LogDescriptor.StandardError,
): Log => pino({ name: processName, level }, destination({ fd: descriptor, sync: true }));

/** Creates a log that is not blocked by a stalled reader. */
export const createQueuedLog = (
  processName: string,
  level: string,
  descriptor: number = LogDescriptor.StandardOutput,
): QueuedLog => {
  const stream = destination({
    fd: descriptor,
    sync: false,
    minLength: minimumWriteBytes,
    maxLength: maximumQueueBytes,
  });
  let droppedCount = 0;
  const countDroppedLine = (): void => {
    droppedCount += 1;
  };
  stream.on('drop', countDroppedLine);
  // If the reader has closed the pipe, lines are lost and counted; the process continues.
  stream.on('error', countDroppedLine);
  return {
    log: pino({ name: processName, level }, stream),
    takeDroppedCount: () => {
      const count = droppedCount;
      droppedCount = 0;
      return count;
    },
    // A synchronous flush would write the queue before the write that the thread pool has.
    dispose: () =>
      waitWithTimeout(
        new Promise<void>((resolve) => {
          stream.flush(() => resolve());
        }),
        flushTimeoutMilliseconds,
      ),
  };
};
