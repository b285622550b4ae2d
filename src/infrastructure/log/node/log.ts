/**
 * Log lines, for changes of state only; what happens often is counted in the metrics instead.
 */
import { destination, pino, type Logger } from 'pino';
import type { ValueOf } from '../../../base/common/handlers.js';

export type Log = Logger;

/** Descriptors on which a process may write its log. */
export const LogDescriptor = { StandardOutput: 1, StandardError: 2 } as const;
export type LogDescriptor = ValueOf<typeof LogDescriptor>;

/** Creates the log of a process; lines are JSON. */
export const createLog = (
  process: string,
  level: string,
  descriptor: LogDescriptor = LogDescriptor.StandardError,
): Log => pino({ name: process, level }, destination({ fd: descriptor, sync: true }));
