/**
 * Invariants of coming and going: upstreams that leave, and daemons that shut down gracefully.
 */
import { UpstreamState } from '../../src/service/protocol/common/upstreamProtocol.js';
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

/** A daemon that shuts down ends every call that came while its advice held, or its drain deadline. */
export const checkGracefulShutdown: Invariant = ({ shutdowns, calls, endedAt }) =>
  shutdowns.flatMap(({ daemon, beganAt, adviceDeadline, drainDeadline }) =>
    calls
      .filter((call) => call.daemon === daemon && call.sentAt <= adviceDeadline)
      .filter((call) => (call.endedAt ?? endedAt) >= beganAt)
      .filter((call) => (call.endedAt ?? endedAt) < drainDeadline)
      .filter(({ outcome, refusal }) => outcome === 'connectionLost' || refusal?.kind === 'leaving')
      .map(({ request, outcome }) => cutCall(`${daemon} cut ${request}: ${outcome}`, request)),
  );
