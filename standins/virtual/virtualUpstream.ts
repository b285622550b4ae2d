/**
 * The state and faults of fake upstreams on virtual time. An execution records what an upstream
 * actually did for one attempt, and checks compare it with what the product reported.
 */
import type { ValueOf } from '../../src/base/common/handlers.js';
import type { Instant, Milliseconds } from '../../src/base/common/time.js';
import type {
  UpstreamKind,
  UpstreamState,
} from '../../src/service/protocol/common/upstreamProtocol.js';
import type { VersionSpan } from '../../src/service/traffic/common/trafficTables.js';
import type { AttemptId, RequestId } from '../../src/service/world/common/identifiers.js';

/** Settings of a fake upstream. */
export interface VirtualUpstreamSettings {
  readonly name: string;
  readonly kind: UpstreamKind;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly tokensPerSecond: number;
  /**
   * Tokens of each answer; a plain service answers after the time that an engine takes to generate
   * them.
   */
  readonly answerTokens: number;
  /** Returns the token count of the next answer, if answers differ in length. */
  readonly selectAnswerTokens?: () => number;
  readonly weightVersion: number | null;
  readonly reclaimable: boolean;
}

export const UpstreamFaultKind = {
  /** The process stops: open connections break and new ones are refused. */
  Crash: 'crash',
  /** A crashed upstream starts again with a higher incarnation. */
  Restart: 'restart',
  /** Open connections send nothing more; new ones work. */
  SilenceOpen: 'silenceOpen',
  /** Open connections send nothing more, and new ones send nothing until `Recover`. */
  Silence: 'silence',
  /** Every response event is delayed until `Recover`. */
  Late: 'late',
  /** New requests are refused before they run, until `Recover`. */
  Refuse: 'refuse',
  /** Announces that it accepts no new requests. */
  Drain: 'drain',
  /** Announces that its VM is being reclaimed, and crashes after the notice period. */
  Reclaim: 'reclaim',
  /** Switches to another weight version immediately, also for running answers. */
  SwapWeights: 'swapWeights',
  /** Clears `Silence`, `Late`, `Refuse` and `Drain`. */
  Recover: 'recover',
} as const;
export type UpstreamFaultKind = ValueOf<typeof UpstreamFaultKind>;

export type UpstreamFault =
  | { readonly kind: 'crash' }
  | { readonly kind: 'restart' }
  | { readonly kind: 'silenceOpen' }
  | { readonly kind: 'silence' }
  | { readonly kind: 'late'; readonly delay: Milliseconds }
  | { readonly kind: 'refuse' }
  | { readonly kind: 'drain' }
  | { readonly kind: 'reclaim'; readonly notice: Milliseconds }
  | { readonly kind: 'swapWeights'; readonly weightVersion: number }
  | { readonly kind: 'recover' };

export const ExecutionState = {
  Running: 'running',
  /** The complete answer was sent. */
  Ended: 'ended',
  /** The upstream crashed while it ran. */
  Crashed: 'crashed',
  /** The daemon closed the connection. */
  Cancelled: 'cancelled',
} as const;
export type ExecutionState = ValueOf<typeof ExecutionState>;

/** One attempt that an upstream has started to run. */
export interface Execution {
  readonly attempt: AttemptId;
  readonly request: RequestId;
  readonly upstream: string;
  readonly daemon: string;
  readonly startedAt: Instant;
  /** The attempt as the daemon sent it. */
  readonly received: unknown;
  /**
   * The state that the upstream announced when the execution started, and the instant it entered
   * it.
   */
  readonly announcedState: UpstreamState;
  readonly announcedSince: Instant;
  state: ExecutionState;
  /** Generated tokens by weight version. */
  spans: readonly VersionSpan[];
  isUnresponsive: boolean;
  /** All generated tokens, including those without a weight version. */
  generatedTokens: number;
}

/** The mutable state of one fake upstream. */
export interface VirtualUpstream {
  readonly settings: VirtualUpstreamSettings;
  incarnation: number;
  weightVersion: number | null;
  state: UpstreamState;
  stateSince: Instant;
  /** The instant at which a leaving upstream terminates; `never` otherwise. */
  terminationDeadline: Instant;
  isDown: boolean;
  isUnresponsive: boolean;
  isRefusing: boolean;
  delay: Milliseconds;
}
