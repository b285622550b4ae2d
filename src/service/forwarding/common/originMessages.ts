/**
 * Messages about the software versions that began resumable streams. Entries share them with their
 * control daemons, and ask them when a caller takes up a stream that another daemon passed on.
 */
import * as z from 'zod';
import { maximumSoftwareVersionLength } from '../../registry/common/registryTables.js';

/** Characters of a request identifier; streams of callers with longer ones cannot be resumed. */
export const maximumRequestLength = 64;

const request = z.string().min(1).max(maximumRequestLength);

const originSchema = z.object({
  service: z.string(),
  /** Null if it turned out to be uncertain. */
  softwareVersion: z.string().max(maximumSoftwareVersionLength).nullable(),
  /** Time for which the origin may still be asked for. */
  remaining: z.number().nonnegative(),
});

/** Origins of streams that began on the sender, grouped by service and version. */
export const streamsBegunSchema = z.object({
  kind: z.literal('streamsBegun'),
  origins: z.array(originSchema.extend({ requests: z.array(request) })),
});

/** Asks for the origin of the stream of a request; one who does not know it does not answer. */
export const streamOriginAskedSchema = z.object({
  kind: z.literal('streamOriginAsked'),
  request,
});

export const streamOriginFoundSchema = z.object({
  kind: z.literal('streamOriginFound'),
  request,
  origin: originSchema,
});

export const originMessageSchemas = [
  streamsBegunSchema,
  streamOriginAskedSchema,
  streamOriginFoundSchema,
] as const;
export type OriginMessage = z.infer<(typeof originMessageSchemas)[number]>;
