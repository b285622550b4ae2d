/**
 * Instants that a daemon sends to another one to get them back later. An instant is a reading of the
 * clock of one process and means nothing to another process, not even to the next one of the same
 * daemon, whose clock starts anew. It is therefore sent with the incarnation that it belongs to.
 */
import * as z from 'zod';
import type { Instant } from '../../../base/common/time.js';
import type { World } from './world.js';

/** Schema of an instant that is to be echoed; the receiver stores it and sends it back unchanged. */
export const echoedInstantSchema = z.object({
  /** Incarnation of the daemon whose clock was read. */
  incarnation: z.number().int().nonnegative(),
  /** Milliseconds by the clock of that incarnation. */
  at: z.number(),
});
export type EchoedInstant = z.infer<typeof echoedInstantSchema>;

/** Creates an instant of this process that another daemon is to echo. */
export const createEchoedInstant = (world: World, at: Instant): EchoedInstant => ({
  incarnation: world.incarnation,
  at,
});

/**
 * Returns an instant that another daemon has echoed, or undefined if it is no evidence: it belongs to
 * an earlier process of this daemon, or lies in the future.
 */
export const readEchoedInstant = (
  world: World,
  echoed: EchoedInstant | null,
  now: Instant,
): Instant | undefined => {
  if (echoed === null) return undefined;
  if (echoed.incarnation === world.incarnation && echoed.at <= now) return echoed.at;
  world.metrics.count('echoes.refused');
  return undefined;
};
