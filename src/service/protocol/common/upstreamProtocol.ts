/**
 * HTTP protocol of upstreams: each upstream posts an announcement to the entries and renews it
 * before it expires. These schemas validate the JSON bodies on receipt.
 */
import * as z from 'zod';
import type { ValueOf } from '../../../base/common/handlers.js';
import type { Milliseconds } from '../../../base/common/time.js';
import { nameSchema } from '../../../infrastructure/wire/common/textSchemas.js';

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

/** Maximum length of an address; it consists of a scheme, a host and a port. */
const maximumAddressLength = 1_000;

/** Maximum slots of an upstream; the largest engines run some thousand requests at once. */
const maximumSlots = 100_000;

/** Maximum models or adapters of an upstream; an announcement is relayed to every daemon. */
const maximumNames = 1_000;

/** Maximum validity; an announcement is renewed every few seconds, a VM is reclaimed in minutes. */
const maximumRemainingMilliseconds: Milliseconds = 3_600_000;

const addressSchema = z
  .url({ protocol: /^https?$/ })
  .max(maximumAddressLength)
  .refine(
    (address) => URL.canParse(address) && new URL(address).port !== '0',
    'names no port to connect to',
  );

export const announcementSchema = z.strictObject({
  /** Stable name of the upstream. */
  upstream: nameSchema,
  kind: z.enum(UpstreamKind),
  /** Name of its service in the settings tree. */
  service: nameSchema,
  /** Base address, such as `http://127.0.0.1:9000`. */
  address: addressSchema,
  /** Availability zone. */
  zone: nameSchema,
  /** Number that increases with every start of the upstream process. */
  incarnation: z.number().int().nonnegative(),
  state: z.enum(UpstreamState),
  /** Loaded models; empty for plain services. */
  models: z.array(nameSchema).max(maximumNames),
  /** Names of loaded adapters. */
  adapters: z.array(nameSchema).max(maximumNames),
  /** Current weight version, or null if it has none. */
  weightVersion: z.number().int().nonnegative().nullable(),
  /** Whether the VM may be reclaimed at a few seconds' notice. */
  reclaimable: z.boolean(),
  /** Whether it refuses orders with a lower fencing token than it has received. */
  checksFencing: z.boolean(),
  /** Whether an interrupted stream can be resumed from an offset. */
  resumesStreams: z.boolean(),
  /** Number of requests that it can run concurrently. */
  slots: z.number().int().positive().max(maximumSlots),
  /** Number of running requests as last measured by the upstream; may lag. */
  running: z.number().int().nonnegative(),
  /** Milliseconds for which this announcement is valid, or until the VM is gone if `leaving`. */
  remaining: z.number().positive().max(maximumRemainingMilliseconds),
});

/** A decoded announcement. */
export type Announcement = z.infer<typeof announcementSchema>;
