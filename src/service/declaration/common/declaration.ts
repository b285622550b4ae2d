/**
 * A declaration: the complete desired state of an installation under a version that rises. It is set as a
 * whole and read back as it came. The settings tree stays beside it for installations that are edited in
 * place.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import type { Milliseconds } from '../../../base/common/time.js';

/** What may be repeated of a request on a route. */
export const RouteKind = {
  /** May run more than once. */
  Idempotent: 'idempotent',
  /** Runs at most once for each attempt of the caller. */
  NonIdempotent: 'nonIdempotent',
  /** Answers with a series of events. */
  Stream: 'stream',
  /** Takes batch jobs, whose items run later. */
  Job: 'job',
} as const;
export type RouteKind = ValueOf<typeof RouteKind>;

/** A share of the requests of a route. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

export interface RouteDeclaration {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** How long a caller may be kept waiting; null where the route has no such bound. */
  readonly timeoutMilliseconds: Milliseconds | null;
  /** Within how long an answer is worth its full credit. */
  readonly objectiveMilliseconds: Milliseconds;
  readonly targets: readonly RouteTarget[];
  /** The most upstreams to which one request may be sent, and the most failures of an item. */
  readonly maximumAttempts: number;
  /** Whether requests need no key. */
  readonly isOpen: boolean;
  readonly isResumable: boolean;
  /** Whether one weight version must have made the whole text of an item. */
  readonly isSingleVersion: boolean;
  /** 0 is the highest. */
  readonly priority: number;
  /** How long after its submission the results of a job are due. */
  readonly dueMilliseconds: Milliseconds | null;
  /** How long after its submission an item of a job may be given up. */
  readonly itemLifetimeMilliseconds: Milliseconds | null;
}

/** How many upstreams of a service may be ordered, and what they cost. */
export interface ScalingDeclaration {
  /** Bounds in each availability zone, of both kinds of upstreams together. */
  readonly minimum: number;
  readonly maximum: number;
  /** From an order until the upstream serves. */
  readonly startMilliseconds: Milliseconds;
  /** Price of an upstream that may be reclaimed, as a share of that of another; null where there is none. */
  readonly reclaimablePrice: number | null;
  /** Price of an upstream by availability zone. */
  readonly zonePrices: Readonly<Record<string, number>>;
}

export interface ServiceDeclaration {
  readonly name: string;
  readonly maximumConnections: number;
  /** Requests that an engine runs at once; null for plain services. */
  readonly engineSlots: number | null;
  readonly models: readonly string[];
  /** Null where no upstreams are ordered. */
  readonly scaling: ScalingDeclaration | null;
}

export interface WorkspaceDeclaration {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number | null;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerMilliseconds: Milliseconds;
  readonly idleMilliseconds: Milliseconds;
}

export interface Declaration {
  readonly version: number;
  readonly routes: readonly RouteDeclaration[];
  readonly services: readonly ServiceDeclaration[];
  /** Null where no request needs a key. */
  readonly workspaces: readonly WorkspaceDeclaration[] | null;
  readonly limits: CallerLimits;
}
