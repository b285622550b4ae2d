/**
 * HTTP protocol of upstreams: each upstream posts an announcement to the entries and renews it
 * before it expires. These schemas validate the JSON bodies on receipt.
 */
import * as z from 'zod';
import type { ValueOf } from '../../../base/common/handlers.js';

/** Path on an entry to which upstreams post announcements. */
export const announcementPath = '/upstream/v1/announcements';

/** Kind of work that an upstream accepts. */
export const UpstreamKind = {
  /** A model engine with the chat and completion routes. */
  Engine: 'engine',
  /** A plain HTTP service, routed by path. */
  Plain: 'plain',
} as const;
export type UpstreamKind = ValueOf<typeof UpstreamKind>;

/** Readiness of an upstream, as announced by itself. */
export const UpstreamState = {
  /** Accepts new work. */
  Serving: 'serving',
  /** Finishes running work and accepts no new work. */
  Draining: 'draining',
  /** About to be reclaimed; `remaining` is the time until its VM is gone. */
  Leaving: 'leaving',
} as const;
export type UpstreamState = ValueOf<typeof UpstreamState>;

export const announcementSchema = z.strictObject({
  /** Stable name of the upstream. */
  upstream: z.string().min(1),
  kind: z.enum(UpstreamKind),
  /** Name of its service in the settings tree. */
  service: z.string().min(1),
  /** Base address, such as `http://127.0.0.1:9000`. */
  address: z.url(),
  /** Availability zone. */
  zone: z.string().min(1),
  /** Number that increases with every start of the upstream process. */
  incarnation: z.number().int().nonnegative(),
  state: z.enum(UpstreamState),
  /** Loaded models; empty for plain services. */
  models: z.array(z.string()),
  /** Names of loaded adapters. */
  adapters: z.array(z.string()),
  /** Current weight version, or null if it has none. */
  weightVersion: z.number().int().nonnegative().nullable(),
  /** Whether the VM may be reclaimed at a few seconds' notice. */
  reclaimable: z.boolean(),
  /** Whether it refuses orders with a lower fencing token than it has received. */
  checksFencing: z.boolean(),
  /** Whether an interrupted stream can be resumed from an offset. */
  resumesStreams: z.boolean(),
  /** Number of requests that it can run concurrently. */
  slots: z.number().int().positive(),
  /** Number of running requests as last measured by the upstream; may lag. */
  running: z.number().int().nonnegative(),
  /** Milliseconds for which this announcement is valid, or until the VM is gone if `leaving`. */
  remaining: z.number().positive(),
});

/** A decoded announcement. */
export type Announcement = z.infer<typeof announcementSchema>;
