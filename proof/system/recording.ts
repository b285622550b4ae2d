/**
 * What a run leaves behind: what the product said in its events, and the truth as the fakes around it saw
 * it. Invariants are functions over a recording.
 */
import type { Instant } from '../../src/base/common/time.js';
import type { Tree } from '../../src/service/configuration/common/tree.js';
import type { KeyDigest } from '../../src/service/world/common/identifiers.js';
import type { Call } from '../../standins/virtual/virtualCallers.js';
import type { VirtualEvent } from '../../standins/virtual/virtualInstallation.js';
import type { Delivery, Trainer } from '../../standins/virtual/virtualTrainers.js';
import type { Execution, VirtualUpstreamSettings } from '../../standins/virtual/virtualUpstream.js';

/** A key that was withdrawn; the instant is that at which the edit was accepted. */
export interface Withdrawal {
  readonly digest: KeyDigest;
  readonly at: Instant;
}

/** A graceful shutdown of a daemon. */
export interface Shutdown {
  readonly daemon: string;
  readonly startedAt: Instant;
  /** Until when callers may still use advice that they were given before. */
  readonly adviceDeadline: Instant;
  readonly drainDeadline: Instant;
  /** When the daemon crashed before its shutdown had ended, or null. */
  interruptedAt: Instant | null;
}

/** An order as the platform received it. */
export interface ReceivedOrder {
  readonly at: Instant;
  readonly process: string;
  readonly upstream: string;
  readonly fencing: number;
}

/** A report of a usage window as the platform received it. */
export interface ReceivedUsageReport {
  readonly at: Instant;
  readonly process: string;
  readonly window: string;
  readonly fencing: number;
  /** The figures in a canonical form. */
  readonly figures: string;
}

/** The configuration that a daemon served at an instant. */
export interface ServedRevision {
  readonly at: Instant;
  readonly daemon: string;
  readonly revision: number;
  /** A digest of the tree of the revision. */
  readonly digest: string;
}

/** An edit that an operator was told is accepted. */
export interface AcceptedEdit {
  readonly at: Instant;
  readonly revision: number;
}

/** Times in which a daemon ran, was not frozen, and could reach the others. */
export interface ReachableInterval {
  readonly daemon: string;
  readonly from: Instant;
  readonly until: Instant;
}

export interface Recording {
  readonly tree: Tree;
  readonly upstreams: readonly VirtualUpstreamSettings[];
  readonly endedAt: Instant;
  readonly events: readonly VirtualEvent[];
  readonly executions: readonly Execution[];
  readonly calls: readonly Call[];
  readonly trainers: readonly Trainer[];
  readonly deliveries: readonly Delivery[];
  readonly withdrawals: readonly Withdrawal[];
  readonly shutdowns: readonly Shutdown[];
  readonly orders: readonly ReceivedOrder[];
  readonly usageReports: readonly ReceivedUsageReport[];
  readonly revisions: readonly ServedRevision[];
  readonly acceptedEdits: readonly AcceptedEdit[];
  readonly reachableIntervals: readonly ReachableInterval[];
  /** Keys as callers send them, which nothing behind the entries may hold. */
  readonly keys: readonly string[];
}

/** A recording in which nothing happened; tests of invariants add to it. */
export const emptyRecording = (tree: Tree): Recording => ({
  tree,
  upstreams: [],
  endedAt: 0,
  events: [],
  executions: [],
  calls: [],
  trainers: [],
  deliveries: [],
  withdrawals: [],
  shutdowns: [],
  orders: [],
  usageReports: [],
  revisions: [],
  acceptedEdits: [],
  reachableIntervals: [],
  keys: [],
});
