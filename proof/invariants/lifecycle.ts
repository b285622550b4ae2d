/**
 * Invariants of the life cycle: leaving upstreams receive no new work, and graceful shutdowns of daemons
 * interrupt no calls.
 */
import { UpstreamState } from '../../src/service/protocol/common/upstreamProtocol.js';
import type { Shutdown } from '../system/recording.js';
import { InvariantName, createViolationFactory, type Invariant } from './invariant.js';

/** Time after its announcement in which a leaving upstream may still receive new work. */
const maximumLeavingPropagationMilliseconds = 3_000;

const createLeavingUpstreamViolation = createViolationFactory(InvariantName.LeavingUpstream);

/** No execution starts on an upstream that has been leaving for longer than the bound. */
export const checkLeavingUpstream: Invariant = ({ executions }) =>
  executions
    .filter(({ announcedState }) => announcedState !== UpstreamState.Serving)
    .filter(
      ({ startedAt, announcedSince }) =>
        startedAt - announcedSince > maximumLeavingPropagationMilliseconds,
    )
    .map(({ upstream, attempt, startedAt, announcedSince }) =>
      createLeavingUpstreamViolation(
        `${upstream} received work ${startedAt - announcedSince} ms after it announced that it leaves`,
        upstream,
        attempt,
      ),
    );

const createGracefulShutdownViolation = createViolationFactory(InvariantName.GracefulShutdown);

/** Instant until which a shutdown may not interrupt calls: its drain deadline, or an earlier crash. */
const computeProtectionDeadline = ({ drainDeadline, interruptedAt }: Shutdown): number =>
  Math.min(drainDeadline, interruptedAt ?? drainDeadline);

/**
 * A graceful shutdown interrupts no call that was sent before the deadline of its advice, until its drain
 * deadline or until the daemon crashes.
 */
export const checkGracefulShutdown: Invariant = ({ shutdowns, calls, endedAt }) =>
  shutdowns.flatMap((shutdown) => {
    const { daemon, startedAt, adviceDeadline } = shutdown;
    return calls
      .filter((call) => call.daemon === daemon && call.sentAt <= adviceDeadline)
      .filter((call) => (call.endedAt ?? endedAt) >= startedAt)
      .filter((call) => (call.endedAt ?? endedAt) < computeProtectionDeadline(shutdown))
      .filter(({ outcome, refusal }) => outcome === 'connectionLost' || refusal?.kind === 'leaving')
      .map(({ request, outcome }) =>
        createGracefulShutdownViolation(
          `${daemon} interrupted ${request} during its shutdown: ${outcome}`,
          request,
        ),
      );
  });
