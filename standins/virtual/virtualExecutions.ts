/**
 * Runs attempts on fake upstreams: tokens are generated in chunks, and each response event is
 * reported to the daemon after the latency of the link.
 */
import type { Instant, Milliseconds } from '../../src/base/common/time.js';
import { appendSpan } from '../../src/service/dispatch/common/versionSpans.js';
import { UpstreamKind } from '../../src/service/protocol/common/upstreamProtocol.js';
import type { AttemptFact } from '../../src/service/traffic/common/attemptFact.js';
import type { AttemptRow } from '../../src/service/traffic/common/trafficTables.js';
import type { AttemptId, RequestId } from '../../src/service/world/common/identifiers.js';
import type { Links } from './links.js';
import type { VirtualContext } from './virtualInstallation.js';
import { ExecutionState, type Execution, type VirtualUpstream } from './virtualUpstream.js';

const chunkMilliseconds = 100;
const millisecondsPerSecond = 1_000;
const reportedPromptTokens = 32;

/**
 * The clock of the installation. Upstreams use it because they keep running while a daemon is
 * frozen or stopped.
 */
export interface UpstreamClock {
  readonly now: () => Instant;
  readonly schedule: (delay: Milliseconds, action: () => void) => void;
}

/** The executions of all fake upstreams of an installation. */
export interface VirtualExecutions {
  readonly handleAttempt: (
    context: VirtualContext,
    upstream: VirtualUpstream,
    attempt: AttemptRow,
  ) => void;
  readonly cancel: (attempt: AttemptId) => void;
  readonly crash: (upstream: VirtualUpstream) => void;
  readonly runningOf: (upstream: string) => readonly RunningExecution[];
  readonly all: () => readonly Execution[];
  /** Sets the predicate for requests that crash every upstream that runs them. */
  readonly poison: (isPoisonous: IsPoisonous) => void;
}

/** Returns whether a request crashes every upstream that runs it. */
export type IsPoisonous = (request: RequestId, daemon: string) => boolean;

/** An execution that has not ended, and the context of the daemon that sent it. */
export interface RunningExecution {
  readonly execution: Execution;
  readonly context: VirtualContext;
}

/**
 * Creates an empty set of executions. `isCurrent` returns whether a daemon process is still
 * running.
 */
export const createVirtualExecutions = (
  links: Links,
  time: UpstreamClock,
  isCurrent: (context: VirtualContext) => boolean,
): VirtualExecutions => {
  const executions: Execution[] = [];
  const running = new Map<AttemptId, RunningExecution>();
  let isPoisonous: IsPoisonous = () => false;

  const runningOf = (name: string): RunningExecution[] =>
    [...running.values()].filter(({ execution }) => execution.upstream === name);

  const report = (
    context: VirtualContext,
    upstream: VirtualUpstream,
    fact: AttemptFact,
    additionalDelay: Milliseconds = 0,
  ): void => {
    const latency = links.toZone(context.daemon.name, upstream.settings.zone);
    context.schedule(latency + upstream.delay + additionalDelay, () =>
      context.daemon.core.world.attemptFacts.append(fact),
    );
  };

  const endExecution = (execution: Execution, state: ExecutionState): void => {
    Object.assign(execution, { state });
    running.delete(execution.attempt);
  };

  const crash = (upstream: VirtualUpstream): void => {
    Object.assign(upstream, { isDown: true });
    runningOf(upstream.settings.name).forEach(({ execution, context }) => {
      endExecution(execution, ExecutionState.Crashed);
      const fact = { kind: 'broken', attempt: execution.attempt, reason: 'ECONNRESET' } as const;
      if (!execution.isUnresponsive) report(context, upstream, fact);
    });
  };

  const generateTokens = (
    execution: Execution,
    upstream: VirtualUpstream,
    tokens: number,
  ): void => {
    const { weightVersion, incarnation } = upstream;
    Object.assign(execution, { generatedTokens: execution.generatedTokens + tokens });
    if (weightVersion === null) return;
    Object.assign(execution, {
      spans: appendSpan(execution.spans, { weightVersion, incarnation, tokens }),
    });
  };

  const reportTokens = (
    context: VirtualContext,
    execution: Execution,
    upstream: VirtualUpstream,
    tokens: number,
  ): void => {
    if (execution.isUnresponsive) return;
    const { attempt } = execution;
    const { weightVersion, incarnation, settings } = upstream;
    if (settings.kind === UpstreamKind.Plain)
      report(context, upstream, { kind: 'progress', attempt });
    else
      report(context, upstream, {
        kind: 'tokensCame',
        attempt,
        tokens,
        weightVersion,
        incarnation,
      });
  };

  const finish = (
    context: VirtualContext,
    execution: Execution,
    upstream: VirtualUpstream,
  ): void => {
    endExecution(execution, ExecutionState.Ended);
    if (execution.isUnresponsive) return;
    const { attempt } = execution;
    const completionTokens = execution.generatedTokens;
    if (upstream.settings.kind === UpstreamKind.Engine) {
      report(context, upstream, {
        kind: 'usageCame',
        attempt,
        promptTokens: reportedPromptTokens,
        completionTokens,
      });
    }
    report(context, upstream, { kind: 'answerEnded', attempt });
  };

  const generateChunk = (
    context: VirtualContext,
    execution: Execution,
    upstream: VirtualUpstream,
    remainingTokens: number,
  ): void => {
    if (execution.state !== ExecutionState.Running) return;
    if (!isCurrent(context)) {
      endExecution(execution, ExecutionState.Cancelled);
      return;
    }
    const chunkTokens =
      (upstream.settings.tokensPerSecond * chunkMilliseconds) / millisecondsPerSecond;
    const tokens = Math.min(remainingTokens, Math.max(1, Math.floor(chunkTokens)));
    generateTokens(execution, upstream, tokens);
    reportTokens(context, execution, upstream, tokens);
    if (tokens === remainingTokens) finish(context, execution, upstream);
    else {
      time.schedule(chunkMilliseconds, () =>
        generateChunk(context, execution, upstream, remainingTokens - tokens),
      );
    }
  };

  const startExecution = (
    context: VirtualContext,
    upstream: VirtualUpstream,
    attempt: AttemptRow,
  ): void => {
    const execution: Execution = {
      attempt: attempt.id,
      request: attempt.request,
      upstream: upstream.settings.name,
      daemon: context.daemon.name,
      startedAt: time.now(),
      received: attempt,
      announcedState: upstream.state,
      announcedSince: upstream.stateSince,
      state: ExecutionState.Running,
      spans: [],
      isUnresponsive: upstream.isUnresponsive,
      generatedTokens: 0,
    };
    executions.push(execution);
    running.set(attempt.id, { execution, context });
    if (isPoisonous(attempt.request, context.daemon.name)) {
      crash(upstream);
      return;
    }
    if (!execution.isUnresponsive) {
      report(context, upstream, { kind: 'answerStarted', attempt: attempt.id, status: 200 });
    }
    time.schedule(chunkMilliseconds, () =>
      generateChunk(
        context,
        execution,
        upstream,
        upstream.settings.selectAnswerTokens?.() ?? upstream.settings.answerTokens,
      ),
    );
  };

  const handleAttempt = (
    context: VirtualContext,
    upstream: VirtualUpstream,
    attempt: AttemptRow,
  ): void => {
    const refusal = { kind: 'notRun', attempt: attempt.id } as const;
    const isFull = runningOf(upstream.settings.name).length >= upstream.settings.slots;
    if (upstream.isDown) report(context, upstream, { ...refusal, reason: 'ECONNREFUSED' });
    else if (upstream.isRefusing || isFull) {
      report(context, upstream, { ...refusal, reason: 'refused by the upstream' });
    } else startExecution(context, upstream, attempt);
  };

  const cancel = (attempt: AttemptId): void => {
    const runningExecution = running.get(attempt);
    if (runningExecution !== undefined)
      endExecution(runningExecution.execution, ExecutionState.Cancelled);
  };

  return {
    handleAttempt,
    cancel,
    crash,
    runningOf,
    all: () => executions,
    poison: (predicate) => {
      isPoisonous = predicate;
    },
  };
};
