/**
 * The kinds of readers of changes and queued rows. A tick repeats until the systems have read all
 * of theirs; ports read after the tick.
 */
import type { ValueOf } from '../../../base/common/handlers.js';

export const RowReader = {
  /** A system, which runs in every round of a tick. */
  System: 'system',
  /** A port, which runs after the tick. */
  Port: 'port',
} as const;
export type RowReader = ValueOf<typeof RowReader>;
