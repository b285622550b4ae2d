/**
 * The recording of a run: the events that the product emitted, and the observations of the simulated
 * upstreams, callers, trainers and operators. Invariants are functions of a recording.
 */
import type { Instant } from '../../src/base/common/time.js';
import type { Tree } from '../../src/service/configuration/common/tree.js';
import type { KeyDigest } from '../../src/service/world/common/identifiers.js';
import type { Call } from '../../standins/virtual/virtualCallers.js';
import type { VirtualEvent } from '../../standins/virtual/virtualInstallation.js';
import type { Delivery, Trainer } from '../../standins/virtual/virtualTrainers.js';
import type { Execution, VirtualUpstreamSettings } from '../../standins/virtual/virtualUpstream.js';

/** The withdrawal of a key; `at` is the instant at which the operator received the acceptance. */
export interface Withdrawal {
  readonly digest: KeyDigest;
  readonly at: Instant;
}

/** A graceful shutdown of a daemon. */
export interface Shutdown {
  readonly daemon: string;
  readonly startedAt: Instant;
  /** Instant until which callers may follow advice that they received before the shutdown. */
  readonly adviceDeadline: Instant;
  readonly drainDeadline: Instant;
  /** Instant at which the daemon crashed before its shutdown had ended, or null. */
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
  /** The reported figures in a canonical text form. */
  readonly figures: string;
}

/** The configuration revision that a daemon served at an instant. */
export interface ServedRevision {
  readonly at: Instant;
  readonly daemon: string;
  readonly revision: number;
  /** SHA-256 digest of the settings tree of the revision, in hexadecimal. */
  readonly digest: string;
}

/** An edit whose acceptance an operator has received. */
export interface AcceptedEdit {
  readonly at: Instant;
  readonly revision: number;
}

/** An interval in which a daemon ran, was not frozen and could reach the others. */
export interface ReachableInterval {
  readonly daemon: string;
  readonly from: Instant;
  readonly until: Instant;
}

/** The recording of one run; all instants are in virtual milliseconds. */
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
  /** Keys as callers send them; no upstream and no event may contain one. */
  readonly keys: readonly string[];
}

/** Creates a recording without any events; tests of invariants override its fields. */
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
