/**
 * Commands that change the set of voters. A change adds or removes one voter, so that every quorum
 * before it and every quorum after it share a voter. A change takes effect as soon as it is in the
 * log. A retiring daemon is replaced by such changes.
 */
import * as z from 'zod';

export const votersSetSchema = z.object({
  kind: z.literal('votersSet'),
  /** Names of all voters. */
  voters: z.array(z.string()).min(1),
});
export type VotersSet = z.infer<typeof votersSetSchema>;

export const daemonRetiredSchema = z.object({
  kind: z.literal('daemonRetired'),
  /** Name of the daemon. */
  daemon: z.string().min(1),
  /** Name of its VM, as used by the operator. */
  label: z.string(),
});
export type DaemonRetired = z.infer<typeof daemonRetiredSchema>;
