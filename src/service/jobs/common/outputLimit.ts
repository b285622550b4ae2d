/**
 * Limits the text of an item. An engine that is broken may send events without end; each event has
 * at least one token, so a text has no more events than the item may have output tokens.
 */
import type { JobItem } from './jobCommands.js';

/** Returns the maximum number of events of the text of an item; infinity if it states no tokens. */
export const maximumEventsOf = ({ maximumOutputTokens, tokens }: JobItem): number => {
  if (maximumOutputTokens !== undefined) return maximumOutputTokens;
  return tokens > 0 ? tokens : Number.POSITIVE_INFINITY;
};
