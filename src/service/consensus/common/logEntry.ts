/**
 * Entries of the replicated log, as they are stored and sent.
 */
import { z } from 'zod';
import { commandSchema } from './command.js';

/** An entry; its index counts from 1 without gaps. */
export const logEntrySchema = z.object({
  index: z.number().int().positive(),
  term: z.number().int().nonnegative(),
  /** Identifier of the proposal, by which it is applied once. */
  proposal: z.string(),
  /** Name of the daemon that proposed it. */
  origin: z.string(),
  command: commandSchema,
});
export type LogEntry = z.infer<typeof logEntrySchema>;
