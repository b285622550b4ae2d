/**
 * The schema of the deployment file, which lists the daemons of an installation with their
 * addresses, availability zones and roles. All daemons read the same file and find their own entry
 * by name. Names of settings include their unit.
 */
import * as z from 'zod';
import type { ValueOf } from '../../../base/common/handlers.js';

/** The roles of a daemon. */
export const Role = {
  /** Accepts connections of callers, trainers, upstreams and operators. */
  Entry: 'entry',
  /** Stores a replica of the log; requires a data folder. */
  Control: 'control',
} as const;
export type Role = ValueOf<typeof Role>;

/** How daemons discover each other. */
export const Discovery = {
  /** The settings list every daemon. */
  Listed: 'listed',
  /** The settings name some control daemons, to which all other daemons announce themselves. */
  Announced: 'announced',
} as const;
export type Discovery = ValueOf<typeof Discovery>;

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]*$/, 'Use lower-case letters, digits and dashes, such as "gp-north".');

/** An address of the form `host:port`; the host is an IPv4 address. */
const address = z
  .string()
  .regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    'Use an IP address, a colon and a port, such as "127.0.0.1:7101".',
  );

export const daemonSchema = z.strictObject({
  name,
  /** Name of the VM that operators use, if it differs from `name`. */
  label: z.string().min(1).optional(),
  zone: name,
  region: name,
  roles: z.array(z.enum(Role)).min(1),
  /** HTTP address for callers, trainers, upstreams and operators. */
  callerAddress: address,
  /** Address for connections from other daemons. */
  peerAddress: address,
  /** Folder for durable state; required for the role `control`. */
  dataFolder: z.string().min(1).optional(),
});

export const limitsSchema = z.strictObject({
  maximumBodyBytes: z.number().int().positive().default(1_048_576),
  /** Memory for the bodies of all requests that have not ended. */
  maximumReceivedBytes: z
    .number()
    .int()
    .positive()
    .default(64 * 1024 * 1024),
  /** Values of a body of JSON; one of the most items and routes that were measured has 200,000. */
  maximumBodyValues: z.number().int().positive().default(1_000_000),
  maximumHeaderBytes: z.number().int().positive().default(16_384),
  /** Connections of callers, workers and operators; half of the usual limit of descriptors. */
  maximumConnections: z.number().int().positive().default(2_000),
  /** Memory for complete answers that were not read; one larger answer is kept. */
  maximumUnreadBytes: z
    .number()
    .int()
    .positive()
    .default(64 * 1024 * 1024),
  /** Connections of other daemons, of which each has one or two. */
  maximumPeerConnections: z.number().int().positive().default(1_000),
  /** Memory for messages of other daemons that have not arrived in full. */
  maximumPendingFrameBytes: z
    .number()
    .int()
    .positive()
    .default(128 * 1024 * 1024),
  /** Size at which the answer of an upstream is abandoned, because it may never end. */
  maximumAnswerBytes: z
    .number()
    .int()
    .positive()
    .default(256 * 1024 * 1024),
  /** Memory for all answers that are collected until they are complete. */
  maximumCollectedBytes: z
    .number()
    .int()
    .positive()
    .default(64 * 1024 * 1024),
});

export const timingSchema = z.strictObject({
  /** How long callers may cache the advised entry addresses. */
  adviceMilliseconds: z.number().int().positive().default(5_000),
  /** Interval of heartbeats between daemons. */
  heartbeatMilliseconds: z.number().int().positive().default(1_000),
  /** Time without a heartbeat after which a daemon is suspected. */
  suspicionMilliseconds: z.number().int().positive().default(4_000),
  /** Maximum time that a graceful shutdown waits for running requests. */
  drainMilliseconds: z.number().int().positive().default(30_000),
});

export const deploymentSchema = z.strictObject({
  name,
  /** File with the initial settings tree of a new installation, relative to this file. */
  tree: z.string().min(1),
  /** Address to which metrics are sent as StatsD over UDP; if absent, none are sent. */
  metricsAddress: address.optional(),
  /** Folder for timeline event files, one per daemon, relative to this file. */
  eventFolder: z.string().min(1).optional(),
  limits: limitsSchema.prefault({}),
  timing: timingSchema.prefault({}),
  /** How daemons discover each other. */
  discovery: z.enum(Discovery).default(Discovery.Listed),
  daemons: z.array(daemonSchema).min(1),
});

/** The validated settings of one installation. */
export type Deployment = z.infer<typeof deploymentSchema>;
export type DaemonSettings = z.infer<typeof daemonSchema>;
export type Limits = z.infer<typeof limitsSchema>;
export type Timing = z.infer<typeof timingSchema>;
