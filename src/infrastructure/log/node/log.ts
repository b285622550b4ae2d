/**
 * Log lines, for decisions and changes of state; what happens often is counted in the metrics instead.
 * Writing never blocks the process: lines wait in a queue of bounded size, and lines beyond it are dropped
 * and counted.
 */
import { destination, pino, type Logger } from 'pino';
import type { Disposable } from '../../../base/common/disposable.js';
import type { ValueOf } from '../../../base/common/handlers.js';

export type Log = Logger;

/** Descriptors on which a process may write its log. */
export const LogDescriptor = { StandardOutput: 1, StandardError: 2 } as const;
export type LogDescriptor = ValueOf<typeof LogDescriptor>;

/** A log whose lines are written beside the work of the process. */
export interface QueuedLog extends Disposable {
  readonly log: Log;
  /** Lines that found the queue full since this was last asked. */
  readonly takeDroppedCount: () => number;
}

/** Bytes that wait for a reader; a second of lines at the full byte budget of events. */
const maximumQueueBytes = 256 * 1024;

/** Creates the log of a process; lines are JSON and are written before the call returns. */
export const createLog = (
  processName: string,
  level: string,
  descriptor: LogDescriptor = LogDescriptor.StandardError,
): Log => pino({ name: processName, level }, destination({ fd: descriptor, sync: true }));

/** Creates a log that a reader which does not read can't stop. Disposing of it writes what waits. */
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
  // A reader that is gone costs lines, which are counted, and does not end the process.
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
