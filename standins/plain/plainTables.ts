/**
 * The table of the plain service stand-in: the calls it was sent.
 */
import type { Brand } from '../../src/base/common/brand.js';
import type { ValueOf } from '../../src/base/common/handlers.js';
import type { Instant } from '../../src/base/common/time.js';
import { createTable } from '../../src/infrastructure/tables/common/table.js';
import type { FaultPlan } from '../faults/faults.js';

export type CallId = Brand<'plainCall'>;

/** Where a call stands. */
export const CallState = {
  /** Ran, and is answered at its deadline. */
  Running: 'running',
  Answered: 'answered',
  /** Ran, but its caller had closed the connection before the answer. */
  Closed: 'closed',
  /** Ran, and is never answered. */
  Silent: 'silent',
  /** Ran, and its connection was cut without an answer. */
  Crashed: 'crashed',
  /** Was refused before it ran. */
  Refused: 'refused',
} as const;
export type CallState = ValueOf<typeof CallState>;

/** A call as it came. */
export interface PlainCallRow {
  readonly id: CallId;
  /** The caller's id of the request, or undefined where it named none. */
  readonly requestId: string | undefined;
  readonly method: string;
  /** Path with its query. */
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
