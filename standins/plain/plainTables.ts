/**
 * The table of the plain service stand-in, with the received calls.
 */
import type { Brand } from '../../src/base/common/brand.js';
import type { ValueOf } from '../../src/base/common/handlers.js';
import type { Instant } from '../../src/base/common/time.js';
import { createTable } from '../../src/infrastructure/tables/common/table.js';
import type { FaultPlan } from '../faults/faults.js';

export type CallId = Brand<'plainCall'>;

/** Lifecycle states of a call. */
export const CallState = {
  /** Ran and is answered at its deadline. */
  Running: 'running',
  Answered: 'answered',
  /** Ran, but the caller closed the connection before the answer. */
  Closed: 'closed',
  /** Ran and is never answered. */
  Silent: 'silent',
  /** Ran, and the connection was cut without an answer. */
  Crashed: 'crashed',
  /** Refused before it ran. */
  Refused: 'refused',
} as const;
export type CallState = ValueOf<typeof CallState>;

/** A received call. */
export interface PlainCallRow {
  readonly id: CallId;
  /** The request id that the caller sent, or undefined. */
  readonly requestId: string | undefined;
  readonly method: string;
  /** Path including the query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly plan: FaultPlan;
  readonly state: CallState;
  readonly answerDeadline: Instant;
}

/** Creates the table of calls. */
export const createCallTable = () =>
  createTable<PlainCallRow, 'requestId', 'answer'>({
    name: 'plainCalls',
    indices: { requestId: (row) => row.requestId },
    deadlines: { answer: (row) => row.answerDeadline },
  });
export type CallTable = ReturnType<typeof createCallTable>;
