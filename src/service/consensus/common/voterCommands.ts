/**
 * The command that changes who votes. A change adds or removes one voter, so that a quorum before it and
 * one after it share a voter; it counts from the moment at which it is in the log.
 */
import { z } from 'zod';

export const votersSetSchema = z.object({
  kind: z.literal('votersSet'),
  /** Names of all voters. */
  voters: z.array(z.string()).min(1),
});
export type VotersSet = z.infer<typeof votersSetSchema>;
