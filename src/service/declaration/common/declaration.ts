/**
 * The types of a declaration: the complete desired state of an installation under an increasing
 * version. A declaration is always set as a whole and read back unchanged. Installations that are
 * edited in place use the settings tree instead.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import type { Milliseconds } from '../../../base/common/time.js';

/** Kinds of routes, which determine whether and how requests are retried. */
export const RouteKind = {
  /** Requests may run more than once. */
  Idempotent: 'idempotent',
  /** Requests run at most once per attempt of the caller. */
  NonIdempotent: 'nonIdempotent',
  /** Requests are answered with a stream of events. */
  Stream: 'stream',
  /** Accepts batch jobs, whose items run asynchronously. */
  Job: 'job',
} as const;
export type RouteKind = ValueOf<typeof RouteKind>;

/** A service that receives a share of the requests of a route, in proportion to its weight. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** A route: how requests for a host and path prefix are handled. */
export interface RouteDeclaration {
  readonly name: string;
  readonly host: string;
  /** Path prefix; starts and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Maximum time a caller waits for an answer; null if the route has no timeout. */
  readonly timeoutMilliseconds: Milliseconds | null;
  /** Latency objective: an answer within this time gets full credit. */
  readonly objectiveMilliseconds: Milliseconds;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of upstreams that a request is sent to, and of failures of an item. */
  readonly maximumAttempts: number;
  /** Whether requests are accepted without a key. */
  readonly isOpen: boolean;
  readonly isResumable: boolean;
  /** Whether the complete text of an item must come from a single weight version. */
  readonly isSingleVersion: boolean;
  /** Priority of requests; 0 is the highest. */
  readonly priority: number;
  /** Time after the submission of a job at which its results are due. */
  readonly dueMilliseconds: Milliseconds | null;
  /** Time after the submission of a job at which its unfinished items may be abandoned. */
  readonly itemLifetimeMilliseconds: Milliseconds | null;
  /**
   * Regions in which requests may be served and stored; no limit if empty, or absent as in entries of
   * earlier releases.
   */
  readonly homeRegions?: readonly string[];
}

/** What upstreams of a service tolerate while they are cold. */
export interface ColdStartDeclaration {
  /** Time for which an upstream is cold after its start. */
  readonly milliseconds: Milliseconds;
  /** Requests a second that a cold upstream tolerates from all daemons together. */
  readonly requestsPerSecond: number;
}

/** Bounds on the number of upstreams of a service, and their relative prices. */
export interface ScalingDeclaration {
  /** Bounds per availability zone, for reclaimable and other upstreams together. */
  readonly minimum: number;
  readonly maximum: number;
  /** Time from an order until the upstream serves requests. */
  readonly startMilliseconds: Milliseconds;
  /** Price of a reclaimable upstream as a fraction of the regular price; null if there are none. */
  readonly reclaimablePrice: number | null;
  /** Price of an upstream, by availability zone. */
  readonly zonePrices: Readonly<Record<string, number>>;
}

/** A service: a group of upstreams, any of which can begin a request. */
export interface ServiceDeclaration {
  readonly name: string;
  readonly maximumConnections: number;
  /** Number of requests that an engine runs concurrently; null for plain services. */
  readonly engineSlots: number | null;
  readonly models: readonly string[];
  /** Null if no upstreams are ordered for the service. */
  readonly scaling: ScalingDeclaration | null;
  /**
   * Null if upstreams take their full load from their start; absent in entries of earlier releases.
   */
  readonly coldStart?: ColdStartDeclaration | null;
}

/** A workspace and the keys of its callers. */
export interface WorkspaceDeclaration {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number | null;
  /** As for routes; a request is bound by the home regions of its route and of its workspace. */
  readonly homeRegions?: readonly string[];
}

/** Limits on the size of callers' requests and on the time to receive them. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerMilliseconds: Milliseconds;
  readonly idleMilliseconds: Milliseconds;
}

/** The complete desired state of an installation. */
export interface Declaration {
  readonly version: number;
  readonly routes: readonly RouteDeclaration[];
  readonly services: readonly ServiceDeclaration[];
  /** Null if requests do not need a key. */
  readonly workspaces: readonly WorkspaceDeclaration[] | null;
  readonly limits: CallerLimits;
}
