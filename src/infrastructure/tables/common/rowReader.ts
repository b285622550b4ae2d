/**
 * Who reads changes or queued rows. A tick goes on until systems have read everything; ports read after it.
 */
import type { ValueOf } from '../../../base/common/handlers.js';

export const RowReader = {
  /** A system, which runs in every round of a tick. */
  System: 'system',
  /** A port, which runs after the tick. */
  Port: 'port',
} as const;
export type RowReader = ValueOf<typeof RowReader>;
