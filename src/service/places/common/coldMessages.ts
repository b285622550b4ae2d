/**
 * Messages about permits for requests to cold upstreams, between the daemons that send requests and
 * the leader.
 */
import * as z from 'zod';

/** Characters of the identifier of a request for permits; it contains the name of the daemon. */
const maximumRequestLength = 256;

const permitFields = {
  /** Identifies the request; an answer that arrives late or twice is recognized by it. */
  request: z.string().min(1).max(maximumRequestLength),
  upstream: z.string().min(1),
  /** Wall-clock time of the start for which the permits hold, in milliseconds. */
  startedAt: z.number(),
};

/** Sent to the leader for the number of requests that wait. */
export const coldPermitsRequestedSchema = z.object({
  kind: z.literal('coldPermitsRequested'),
  ...permitFields,
  count: z.number().int().positive(),
});

/** Answer of the leader; `count` may be 0. */
export const coldPermitsGrantedSchema = z.object({
  kind: z.literal('coldPermitsGranted'),
  ...permitFields,
  count: z.number().int().nonnegative(),
  /** Milliseconds after which the receiver may request more. */
  remaining: z.number().nonnegative(),
});

export const coldMessageSchemas = [coldPermitsRequestedSchema, coldPermitsGrantedSchema] as const;
export type ColdMessage = z.infer<(typeof coldMessageSchemas)[number]>;
