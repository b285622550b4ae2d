/**
 * Schema of entries of the replicated log, used for storage and for messages.
 */
import * as z from 'zod';
import { commandSchema } from './command.js';

/** A log entry. Indices start at 1 and have no gaps. */
export const logEntrySchema = z.object({
  index: z.number().int().positive(),
  term: z.number().int().nonnegative(),
  /** Identifier of the proposal; ensures that the command is applied once. */
  proposal: z.string(),
  /** Name of the daemon that proposed it. */
  origin: z.string(),
  command: commandSchema,
});
export type LogEntry = z.infer<typeof logEntrySchema>;
