/**
 * Invariants of coming and going: upstreams that leave, and daemons that shut down gracefully.
 */
import { UpstreamState } from '../../src/service/protocol/common/upstreamProtocol.js';
import type { Shutdown } from '../system/recording.js';
import { InvariantName, createViolationFactory, type Invariant } from './invariant.js';

/** Within this time after its announcement a leaving upstream gets no new work. */
const maximumLeavingPropagationMilliseconds = 3_000;

const createLeavingUpstreamViolation = createViolationFactory(InvariantName.LeavingUpstream);

/** No work begins on an upstream that has been leaving for longer than the bound. */
export const checkLeavingUpstream: Invariant = ({ executions }) =>
  executions
    .filter(({ announcedState }) => announcedState !== UpstreamState.Serving)
    .filter(
      ({ startedAt, announcedSince }) =>
        startedAt - announcedSince > maximumLeavingPropagationMilliseconds,
    )
    .map(({ upstream, attempt, startedAt, announcedSince }) =>
      createLeavingUpstreamViolation(
        `${upstream} got work ${startedAt - announcedSince} ms after it began to leave`,
        upstream,
        attempt,
      ),
    );

const createGracefulShutdownViolation = createViolationFactory(InvariantName.GracefulShutdown);

/** Until when a shutdown must cut nothing: its drain deadline, or a crash that interrupts it. */
const computeProtectionDeadline = ({ drainDeadline, interruptedAt }: Shutdown): number =>
  Math.min(drainDeadline, interruptedAt ?? drainDeadline);

/** A shutdown cuts no call that came while its advice held, until its drain deadline or a crash. */
export const checkGracefulShutdown: Invariant = ({ shutdowns, calls, endedAt }) =>
  shutdowns.flatMap((shutdown) => {
    const { daemon, startedAt, adviceDeadline } = shutdown;
    return calls
      .filter((call) => call.daemon === daemon && call.sentAt <= adviceDeadline)
      .filter((call) => (call.endedAt ?? endedAt) >= startedAt)
      .filter((call) => (call.endedAt ?? endedAt) < computeProtectionDeadline(shutdown))
      .filter(({ outcome, refusal }) => outcome === 'connectionLost' || refusal?.kind === 'leaving')
      .map(({ request, outcome }) =>
        createGracefulShutdownViolation(`${daemon} cut ${request}: ${outcome}`, request),
      );
  });
