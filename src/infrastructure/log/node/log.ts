/**
 * The log of a process. It records decisions and state changes; frequent events are counted in
 * metrics instead. A queued log never blocks the process: lines are buffered in a queue of bounded
 * size, and lines that do not fit are dropped and counted.
 */
import { destination, pino, type Logger } from 'pino';
import type { Disposable } from '../../../base/common/disposable.js';
import type { ValueOf } from '../../../base/common/handlers.js';

export type Log = Logger;

/** File descriptors to which a process can write its log. */
export const LogDescriptor = { StandardOutput: 1, StandardError: 2 } as const;
export type LogDescriptor = ValueOf<typeof LogDescriptor>;

/** A log whose lines are written asynchronously. */
export interface QueuedLog extends Disposable {
  readonly log: Log;
  /** Returns the number of lines dropped since the last call. */
  readonly takeDroppedCount: () => number;
}

/**
 * Size of the queue: more than five seconds of request events at their budget of 48 KiB per second.
 */
const maximumQueueBytes = 256 * 1024;

/** Creates a synchronous log; lines are JSON and are written before the logging call returns. */
export const createLog = (
  processName: string,
  level: string,
  descriptor: LogDescriptor = LogDescriptor.StandardError,
): Log => pino({ name: processName, level }, destination({ fd: descriptor, sync: true }));

/** Creates a log that is not blocked by a stalled reader. Disposing of it flushes the queue. */
export const createQueuedLog = (
  processName: string,
  level: string,
  descriptor: number = LogDescriptor.StandardOutput,
): QueuedLog => {
  const stream = destination({ fd: descriptor, sync: false, maxLength: maximumQueueBytes });
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
    dispose: () => stream.flushSync(),
  };
};
