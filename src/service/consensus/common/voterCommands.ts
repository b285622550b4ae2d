/**
 * The commands that change who votes. A change adds or removes one voter, so that a quorum before it and
 * one after it share a voter; it counts from the moment at which it is in the log. A daemon that retires
 * is replaced by such changes.
 */
import { z } from 'zod';

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
  /** Name of its VM by which the operator knows it. */
  label: z.string(),
});
export type DaemonRetired = z.infer<typeof daemonRetiredSchema>;
