/**
 * Fake upstreams on virtual time, shared by all daemons of an installation. An attempt starts and
 * ends without network latency, and its run time is its estimated tokens times the time per token
 * of the upstream, so that tests can compute queueing times by hand.
 */
import type { Milliseconds } from '../../src/base/common/time.js';
import { RowReader } from '../../src/infrastructure/tables/common/rowReader.js';
import {
  UpstreamKind,
  UpstreamState,
  type Announcement,
} from '../../src/service/protocol/common/upstreamProtocol.js';
import type { AttemptFact } from '../../src/service/traffic/common/attemptFact.js';
import { AttemptState, type AttemptRow } from '../../src/service/traffic/common/trafficTables.js';
import type { AttemptId, RequestId } from '../../src/service/world/common/identifiers.js';
import { createVirtualProbePort } from './virtualProbes.js';
import type { VirtualContext, VirtualPort } from './virtualInstallation.js';

/** The outcome of an attempt at an upstream. */
export const DirectOutcome = {
  Answer: 'answer',
  /** The process ends, and starts again at once with a higher incarnation. */
  Crash: 'crash',
  /** The connection breaks instead of the answer, and the process lives on. */
  Cut: 'cut',
  /** The upstream accepts the request and never answers. */
  Silence: 'silence',
} as const;
export type DirectOutcome = (typeof DirectOutcome)[keyof typeof DirectOutcome];

/** Settings of one upstream. */
export interface DirectUpstreamSettings {
  readonly name: string;
  readonly service: string;
  readonly kind?: UpstreamKind;
  readonly models: readonly string[];
  readonly zone: string;
  readonly slots: number;
  readonly reclaimable?: boolean;
  readonly millisecondsPerToken: Milliseconds;
}

/** One run of an attempt on an upstream. */
export interface DirectRun {
  readonly upstream: string;
  readonly request: RequestId;
  readonly attempt: AttemptId;
  readonly startedAt: number;
}

export interface DirectUpstreams {
  readonly createPort: (context: VirtualContext) => VirtualPort;
  /** All runs so far, in order. */
  readonly runs: () => readonly DirectRun[];
  /** Sets the function that selects the outcome of later attempts; all are answered by default. */
  readonly setOutcomeSelector: (
    selectOutcome: (attempt: AttemptRow, upstream: string) => DirectOutcome,
  ) => void;
  /** Sets the state of an upstream for its next and later announcements. */
  readonly setState: (upstream: string, state: UpstreamState) => void;
}

const announcementIntervalMilliseconds: Milliseconds = 1_000;
const announcementLifetimeMilliseconds: Milliseconds = 3_000;
const refusalDelayMilliseconds: Milliseconds = 1;

/** Creates upstreams that all daemons of an installation share. */
export const createDirectUpstreams = (
  settings: readonly DirectUpstreamSettings[],
): DirectUpstreams => {
  const running = new Map<string, Set<AttemptId>>(settings.map(({ name }) => [name, new Set()]));
  const incarnations = new Map(settings.map(({ name }) => [name, 1]));
  const states = new Map<string, UpstreamState>();
  const runs: DirectRun[] = [];
  let selectOutcome: (attempt: AttemptRow, upstream: string) => DirectOutcome = () =>
    DirectOutcome.Answer;

  const announcementOf = (upstream: DirectUpstreamSettings): Announcement => ({
    upstream: upstream.name,
    kind: upstream.kind ?? UpstreamKind.Engine,
    service: upstream.service,
    address: `http://${upstream.name}:80`,
    zone: upstream.zone,
    incarnation: incarnations.get(upstream.name)!,
    state: states.get(upstream.name) ?? UpstreamState.Serving,
    models: [...upstream.models],
    adapters: [],
    weightVersion: 1,
    reclaimable: upstream.reclaimable ?? false,
    checksFencing: true,
    resumesStreams: false,
    slots: upstream.slots,
    running: running.get(upstream.name)!.size,
    remaining: announcementLifetimeMilliseconds,
  });

  const createPort = (context: VirtualContext): VirtualPort => {
    const { daemon, now, schedule } = context;
    // A process that ends starts again at once, so that every address accepts connections.
    const probePort = createVirtualProbePort(
      context,
      () => true,
      () => refusalDelayMilliseconds,
    );
    const { world } = daemon.core;
    const changes = world.attempts.createChangeReader(RowReader.Port);
    const startedAttempts = new Set<AttemptId>();
    const report = (fact: AttemptFact): void => world.attemptFacts.append(fact);

    const announce = (): void => {
      settings.forEach((upstream) =>
        world.arrivedAnnouncements.append({
          announcement: announcementOf(upstream),
          isDirect: false,
        }),
      );
      schedule(announcementIntervalMilliseconds, announce);
    };

    const finish = (
      { id, upstream, estimatedTokens }: AttemptRow,
      runningAttempts: Set<AttemptId>,
    ): void => {
      if (!runningAttempts.delete(id)) return;
      const origin = { weightVersion: 1, incarnation: incarnations.get(upstream)! };
      report({ kind: 'tokensCame', attempt: id, tokens: estimatedTokens, ...origin });
      report({ kind: 'answerEnded', attempt: id });
    };

    const cut = ({ id }: AttemptRow, runningAttempts: Set<AttemptId>): void => {
      if (runningAttempts.delete(id)) report({ kind: 'broken', attempt: id, reason: 'ECONNRESET' });
    };

    const crash = (attempt: AttemptRow, runningAttempts: Set<AttemptId>): void => {
      const { upstream } = attempt;
      incarnations.set(upstream, incarnations.get(upstream)! + 1);
      cut(attempt, runningAttempts);
    };

    const outcomeHandlers: Readonly<
      Record<DirectOutcome, (attempt: AttemptRow, runningAttempts: Set<AttemptId>) => void>
    > = { answer: finish, crash, cut, silence: () => {} };

    const startRun = (attempt: AttemptRow): void => {
      const upstream = settings.find(({ name }) => name === attempt.upstream)!;
      const runningAttempts = running.get(upstream.name)!;
      if (runningAttempts.size >= upstream.slots) {
        const reason = 'refused by the upstream';
        schedule(refusalDelayMilliseconds, () =>
          report({ kind: 'notRun', attempt: attempt.id, reason }),
        );
        return;
      }
      runningAttempts.add(attempt.id);
      const { id, request } = attempt;
      runs.push({ upstream: upstream.name, request, attempt: id, startedAt: now() });
      const duration = upstream.millisecondsPerToken * attempt.estimatedTokens;
      const outcome = selectOutcome(attempt, upstream.name);
      schedule(duration, () => outcomeHandlers[outcome](attempt, runningAttempts));
    };

    const handlers: Readonly<Record<AttemptState, (attempt: AttemptRow) => void>> = {
      queued: () => {},
      writing: (attempt) => {
        if (startedAttempts.has(attempt.id)) return;
        startedAttempts.add(attempt.id);
        startRun(attempt);
      },
      answering: () => {},
      ended: ({ id, upstream }) => {
        startedAttempts.delete(id);
        running.get(upstream)?.delete(id);
      },
    };

    schedule(0, announce);
    return {
      drain: () => {
        changes.take().forEach((id) => {
          const attempt = world.attempts.get(id);
          if (attempt !== undefined) handlers[attempt.state](attempt);
        });
        probePort.drain();
      },
    };
  };

  return {
    createPort,
    runs: () => runs,
    setOutcomeSelector: (selector) => {
      selectOutcome = selector;
    },
    setState: (upstream, state) => {
      states.set(upstream, state);
    },
  };
};
