/**
 * The deployment file: every daemon of one installation, with its addresses, availability zone and roles.
 * All daemons read the same file, and each finds itself in it by name. Units are in the names.
 */
import { z } from 'zod';
import type { ValueOf } from '../../../base/common/handlers.js';

/** What a daemon does. */
export const Role = {
  /** Meets callers, trainers, upstreams and operators. */
  Entry: 'entry',
  /** Member of the replicated log; needs a data folder. */
  Control: 'control',
} as const;
export type Role = ValueOf<typeof Role>;

/** How daemons learn of each other. */
export const Discovery = {
  /** Every daemon stands in the settings. */
  Listed: 'listed',
  /** The settings name a few control daemons; all others announce themselves to those. */
  Announced: 'announced',
} as const;
export type Discovery = ValueOf<typeof Discovery>;

const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]*$/,
    'Write lower-case letters, digits and dashes, such as "gp-north".',
  );

/** An address as `host:port`; the host is an IP number. */
const address = z
  .string()
  .regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    'Write an IP number, a colon and a port, such as "127.0.0.1:7101".',
  );

export const daemonSchema = z.strictObject({
  name,
  /** Name of the VM by which operators know it, where that is another one. */
  label: z.string().min(1).optional(),
  zone: name,
  region: name,
  roles: z.array(z.enum(Role)).min(1),
  /** Where callers, trainers, upstreams and operators connect by HTTP. */
  callerAddress: address,
  /** Where other daemons connect. */
  peerAddress: address,
  /** Folder for durable state; needed by the role `control`. */
  dataFolder: z.string().min(1).optional(),
});

export const limitsSchema = z.strictObject({
  maximumBodyBytes: z.number().int().positive().default(1_048_576),
  maximumHeaderBytes: z.number().int().positive().default(16_384),
});

export const timingSchema = z.strictObject({
  /** How long callers may keep an answer to the question which address to use. */
  adviceMilliseconds: z.number().int().positive().default(5_000),
  /** How often daemons tell each other that they live. */
  heartbeatMilliseconds: z.number().int().positive().default(1_000),
  /** How long a daemon may be silent before it is suspected. */
  suspicionMilliseconds: z.number().int().positive().default(4_000),
  /** How long a graceful shutdown waits for running requests. */
  drainMilliseconds: z.number().int().positive().default(30_000),
});

export const deploymentSchema = z.strictObject({
  name,
  /** File of the settings tree with which a new installation starts, relative to this file. */
  tree: z.string().min(1),
  /** Where metrics go, by the StatsD protocol over UDP; no metrics leave the process without it. */
  metricsAddress: address.optional(),
  /** Folder for event files of the time line, relative to this file; one file a daemon. */
  eventFolder: z.string().min(1).optional(),
  limits: limitsSchema.prefault({}),
  timing: timingSchema.prefault({}),
  /** How daemons learn of each other. */
  discovery: z.enum(Discovery).default(Discovery.Listed),
  daemons: z.array(daemonSchema).min(1),
});

/** The checked settings of one installation. */
export type Deployment = z.infer<typeof deploymentSchema>;
export type DaemonSettings = z.infer<typeof daemonSchema>;
export type Limits = z.infer<typeof limitsSchema>;
export type Timing = z.infer<typeof timingSchema>;
