/**
 * What upstreams say about themselves: the announcement that each of them posts to the entries, again
 * before the last one runs out. Source: HTTP bodies in JSON, validated here at the border.
 */
import { z } from 'zod';
import type { ValueOf } from '../../../base/common/handlers.js';

/** The path on an entry to which upstreams post announcements. */
export const announcementPath = '/upstream/v1/announcements';

/** What kind of work an upstream takes. */
export const UpstreamKind = {
  /** A model engine with the chat and completion routes. */
  Engine: 'engine',
  /** A plain HTTP service, routed by path. */
  Plain: 'plain',
} as const;
export type UpstreamKind = ValueOf<typeof UpstreamKind>;

/** What an upstream says of its own readiness. */
export const UpstreamState = {
  /** Takes new work. */
  Serving: 'serving',
  /** Finishes what it has and takes nothing new. */
  Draining: 'draining',
  /** Is about to be reclaimed; `remaining` says how long it still lives. */
  Leaving: 'leaving',
} as const;
export type UpstreamState = ValueOf<typeof UpstreamState>;

export const announcementSchema = z.strictObject({
  /** Stable name of the upstream. */
  upstream: z.string().min(1),
  kind: z.enum(UpstreamKind),
  /** The service of the settings tree that it serves. */
  service: z.string().min(1),
  /** Base address, such as `http://127.0.0.1:9000`. */
  address: z.url(),
  /** Availability zone. */
  zone: z.string().min(1),
  /** A number that rises with every start of the upstream process. */
  incarnation: z.number().int().nonnegative(),
  state: z.enum(UpstreamState),
  /** Models it has loaded; empty for plain services. */
  models: z.array(z.string()),
  /** Adapters it has loaded, by name. */
  adapters: z.array(z.string()),
  /** The weight version it runs now, or null where it has none. */
  weightVersion: z.number().int().nonnegative().nullable(),
  /** Whether the VM may be reclaimed at a few seconds' notice. */
  reclaimable: z.boolean(),
  /** Whether it refuses orders with an older fencing number. */
  checksFencing: z.boolean(),
  /** Whether a cut stream may be resumed from an offset. */
  resumesStreams: z.boolean(),
  /** Requests that it can run side by side. */
  slots: z.number().int().positive(),
  /** Requests that it runs now, by its own lagging report. */
  running: z.number().int().nonnegative(),
  /** Milliseconds for which this announcement holds, or until the VM is gone when `leaving`. */
  remaining: z.number().positive(),
});

/** A decoded announcement. */
export type Announcement = z.infer<typeof announcementSchema>;
