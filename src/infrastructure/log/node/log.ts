/**
 * Log lines, for changes of state only; what happens often is counted in the metrics instead.
 */
import { destination, pino, type Logger } from 'pino';

export type Log = Logger;

const standardError = 2;

/** Creates the log of a process; lines are JSON on standard error. */
export const createLog = (process: string, level: string): Log =>
  pino({ name: process, level }, destination({ fd: standardError, sync: true }));
