/**
 * The rows and faults of fake upstreams on virtual time. An execution is the truth about one attempt as
 * the upstream saw it; checks compare it with what the product said.
 */
import type { ValueOf } from '../../src/base/common/handlers.js';
import type { Instant, Milliseconds } from '../../src/base/common/time.js';
import type {
  UpstreamKind,
  UpstreamState,
} from '../../src/service/protocol/common/upstreamProtocol.js';
import type { VersionSpan } from '../../src/service/traffic/common/trafficTables.js';
import type { AttemptId, RequestId } from '../../src/service/world/common/identifiers.js';

/** What a fake upstream is made from. */
export interface VirtualUpstreamSettings {
  readonly name: string;
  readonly kind: UpstreamKind;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly tokensPerSecond: number;
  /** Tokens of each answer; plain services answer in the time that these would take. */
  readonly answerTokens: number;
  /** Draws the tokens of one answer, where answers differ. */
  readonly selectAnswerTokens?: () => number;
  readonly weightVersion: number | null;
  readonly reclaimable: boolean;
}

export const UpstreamFaultKind = {
  /** The process ends; running answers break and new connections are refused. */
  Crash: 'crash',
  /** A crashed upstream starts anew. */
  Restart: 'restart',
  /** Open connections fall silent for good; new ones work. */
  SilenceOpen: 'silenceOpen',
  /** Open and new connections fall silent until recovery. */
  Silence: 'silence',
  /** Every fact comes later until recovery. */
  Late: 'late',
  /** New work is refused before it runs, until recovery. */
  Refuse: 'refuse',
  /** Announces that it takes nothing new. */
  Drain: 'drain',
  /** Announces that it is leaving, and is gone after the notice. */
  Reclaim: 'reclaim',
  /** Runs another weight version from now on, also for running answers. */
  SwapWeights: 'swapWeights',
  /** Ends silence, lateness, refusal and draining. */
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
  /** The whole answer was sent. */
  Ended: 'ended',
  /** The upstream crashed while it ran. */
  Crashed: 'crashed',
  /** The daemon closed the connection. */
  Cancelled: 'cancelled',
} as const;
export type ExecutionState = ValueOf<typeof ExecutionState>;

/** One attempt that an upstream has begun to run. */
export interface Execution {
  readonly attempt: AttemptId;
  readonly request: RequestId;
  readonly upstream: string;
  readonly daemon: string;
  readonly startedAt: Instant;
  /** All that the upstream was sent, as the daemon sent it. */
  readonly received: unknown;
  /** What the upstream had announced when it began, and since when. */
  readonly announcedState: UpstreamState;
  readonly announcedSince: Instant;
  state: ExecutionState;
  /** Tokens as they were truly made. */
  spans: readonly VersionSpan[];
  isUnresponsive: boolean;
  /** Tokens that were made, whether or not a version was named. */
  generatedTokens: number;
}

/** The changing state of one fake upstream. */
export interface VirtualUpstream {
  readonly settings: VirtualUpstreamSettings;
  incarnation: number;
  weightVersion: number | null;
  state: UpstreamState;
  stateSince: Instant;
  /** When it is gone, while it is leaving. */
  terminationDeadline: Instant;
  isDown: boolean;
  isUnresponsive: boolean;
  isRefusing: boolean;
  delay: Milliseconds;
}
