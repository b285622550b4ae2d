/**
 * What fake upstreams do with the attempts that reach them: run them chunk by chunk, and report facts with
 * the latency of the link.
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
const millisecondsASecond = 1_000;
const promptTokens = 32;

/** The clock of the installation, on which upstreams go on when a daemon is frozen or gone. */
export interface UpstreamTime {
  readonly now: () => Instant;
  readonly schedule: (delay: Milliseconds, action: () => void) => void;
}

/** What runs on the upstreams. */
export interface VirtualExecutions {
  readonly arrive: (
    context: VirtualContext,
    upstream: VirtualUpstream,
    attempt: AttemptRow,
  ) => void;
  readonly cancel: (attempt: AttemptId) => void;
  readonly crash: (upstream: VirtualUpstream) => void;
  readonly runningOf: (upstream: string) => readonly RunningExecution[];
  readonly all: () => readonly Execution[];
  readonly setPoison: (isPoisonous: IsPoisonous) => void;
}

/** Tells whether a request crashes every upstream that runs it. */
export type IsPoisonous = (request: RequestId, daemon: string) => boolean;

/** An execution that has not ended, and the connection to its daemon. */
export interface RunningExecution {
  readonly execution: Execution;
  readonly context: VirtualContext;
}

/** Creates an empty set of executions. `isCurrent` tells whether that start of a daemon still runs. */
export const createVirtualExecutions = (
  links: Links,
  time: UpstreamTime,
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
    extra: Milliseconds = 0,
  ): void => {
    const latency = links.toZone(context.daemon.name, upstream.settings.zone);
    context.schedule(latency + upstream.delay + extra, () =>
      context.daemon.core.world.attemptFacts.append(fact),
    );
  };

  const end = (execution: Execution, state: ExecutionState): void => {
    Object.assign(execution, { state });
    running.delete(execution.attempt);
  };

  const crash = (upstream: VirtualUpstream): void => {
    Object.assign(upstream, { isDown: true });
    runningOf(upstream.settings.name).forEach(({ execution, context }) => {
      end(execution, ExecutionState.Crashed);
      const fact = { kind: 'broken', attempt: execution.attempt, reason: 'ECONNRESET' } as const;
      if (!execution.isSilent) report(context, upstream, fact);
    });
  };

  const makeTokens = (execution: Execution, upstream: VirtualUpstream, tokens: number): void => {
    const { weightVersion, incarnation } = upstream;
    Object.assign(execution, { madeTokens: execution.madeTokens + tokens });
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
    if (execution.isSilent) return;
    const { attempt } = execution;
    const { weightVersion, incarnation, settings: facts } = upstream;
    if (facts.kind === UpstreamKind.Plain) report(context, upstream, { kind: 'progress', attempt });
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
    end(execution, ExecutionState.Ended);
    if (execution.isSilent) return;
    const { attempt } = execution;
    const completionTokens = execution.madeTokens;
    if (upstream.settings.kind === UpstreamKind.Engine) {
      report(context, upstream, { kind: 'usageCame', attempt, promptTokens, completionTokens });
    }
    report(context, upstream, { kind: 'answerEnded', attempt });
  };

  const makeChunk = (
    context: VirtualContext,
    execution: Execution,
    upstream: VirtualUpstream,
    left: number,
  ): void => {
    if (execution.state !== ExecutionState.Running) return;
    if (!isCurrent(context)) {
      end(execution, ExecutionState.Cancelled);
      return;
    }
    const chunk = (upstream.settings.tokensPerSecond * chunkMilliseconds) / millisecondsASecond;
    const tokens = Math.min(left, Math.max(1, Math.floor(chunk)));
    makeTokens(execution, upstream, tokens);
    reportTokens(context, execution, upstream, tokens);
    if (tokens === left) finish(context, execution, upstream);
    else {
      time.schedule(chunkMilliseconds, () =>
        makeChunk(context, execution, upstream, left - tokens),
      );
    }
  };

  const begin = (context: VirtualContext, upstream: VirtualUpstream, attempt: AttemptRow): void => {
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
      isSilent: upstream.isSilent,
      madeTokens: 0,
    };
    executions.push(execution);
    running.set(attempt.id, { execution, context });
    if (isPoisonous(attempt.request, context.daemon.name)) {
      crash(upstream);
      return;
    }
    if (!execution.isSilent) {
      report(context, upstream, { kind: 'answerStarted', attempt: attempt.id, status: 200 });
    }
    time.schedule(chunkMilliseconds, () =>
      makeChunk(
        context,
        execution,
        upstream,
        upstream.settings.drawTokens?.() ?? upstream.settings.answerTokens,
      ),
    );
  };

  const arrive = (
    context: VirtualContext,
    upstream: VirtualUpstream,
    attempt: AttemptRow,
  ): void => {
    const refusal = { kind: 'notRun', attempt: attempt.id } as const;
    const isFull = runningOf(upstream.settings.name).length >= upstream.settings.slots;
    if (upstream.isDown) report(context, upstream, { ...refusal, reason: 'ECONNREFUSED' });
    else if (upstream.isRefusing || isFull) {
      report(context, upstream, { ...refusal, reason: 'refused by the upstream' });
    } else begin(context, upstream, attempt);
  };

  const cancel = (attempt: AttemptId): void => {
    const entry = running.get(attempt);
    if (entry !== undefined) end(entry.execution, ExecutionState.Cancelled);
  };

  return {
    arrive,
    cancel,
    crash,
    runningOf,
    all: () => executions,
    setPoison: (predicate) => {
      isPoisonous = predicate;
    },
  };
};
