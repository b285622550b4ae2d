/**
 * Invariants of coming and going: upstreams that leave, and daemons that shut down gracefully.
 */
import { UpstreamState } from '../../src/service/protocol/common/upstreamProtocol.js';
import type { Shutdown } from '../system/recording.js';
import { InvariantName, violationOf, type Invariant } from './invariant.js';

/** Within this time after its announcement a leaving upstream gets no new work. */
const leavingBoundMilliseconds = 3_000;

const sentToLeaving = violationOf(InvariantName.LeavingUpstream);

/** No work begins on an upstream that has been leaving for longer than the bound. */
export const checkLeavingUpstream: Invariant = ({ executions }) =>
  executions
    .filter(({ announcedState }) => announcedState !== UpstreamState.Serving)
    .filter(
      ({ startedAt, announcedSince }) => startedAt - announcedSince > leavingBoundMilliseconds,
    )
    .map(({ upstream, attempt, startedAt, announcedSince }) =>
      sentToLeaving(
        `${upstream} got work ${startedAt - announcedSince} ms after it began to leave`,
        upstream,
        attempt,
      ),
    );

const cutCall = violationOf(InvariantName.GracefulShutdown);

/** Until when a shutdown must cut nothing: its drain deadline, or a crash that interrupts it. */
const endOf = ({ drainDeadline, interruptedAt }: Shutdown): number =>
  Math.min(drainDeadline, interruptedAt ?? drainDeadline);

/** A shutdown cuts no call that came while its advice held, until its drain deadline or a crash. */
export const checkGracefulShutdown: Invariant = ({ shutdowns, calls, endedAt }) =>
  shutdowns.flatMap((shutdown) => {
    const { daemon, beganAt, adviceDeadline } = shutdown;
    return calls
      .filter((call) => call.daemon === daemon && call.sentAt <= adviceDeadline)
      .filter((call) => (call.endedAt ?? endedAt) >= beganAt)
      .filter((call) => (call.endedAt ?? endedAt) < endOf(shutdown))
      .filter(({ outcome, refusal }) => outcome === 'connectionLost' || refusal?.kind === 'leaving')
      .map(({ request, outcome }) => cutCall(`${daemon} cut ${request}: ${outcome}`, request));
  });
