/**
 * Records events and metrics of calls: each decision with its inputs, their age or version, and its
 * outcome. Events identify a call by the request identifier that the caller supplied.
 */
import type { Instant } from '../../../base/common/time.js';
import type { EventSubject } from '../../../infrastructure/timeline/common/timelineEvent.js';
import { leadershipOf } from '../../consensus/common/lease.js';
import { declarationId } from '../../declaration/common/declarationTables.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { World } from '../../world/common/world.js';
import type { CallRow, SendOutcome, SendResult, SendRow } from './forwardingTables.js';

/** Value of the `end` label of the latency metric, by the event that ends a call. */
const endLabels = {
  [EventKind.CallAnswered]: 'answered',
  [EventKind.CallRefused]: 'refused',
  [EventKind.CallCancelled]: 'cancelled',
} as const;

/** Outcomes after which a later call with the same content may fail the same way. */
const isContentNoted: Readonly<Record<SendOutcome, boolean>> = {
  answered: false,
  failed: false,
  notRun: false,
  broken: true,
  silent: true,
  abandoned: false,
};

const readDeclarationVersion = (world: World): number =>
  world.declarations.get(declarationId)?.version ?? 0;

/**
 * Returns the milliseconds for which the declaration still counts as current; negative if stale.
 */
const computeFreshMilliseconds = (world: World, now: Instant): number =>
  Math.round(leadershipOf(world).freshnessDeadline - now);

/** Records that a call was admitted, with its route, workspace and the declaration version. */
export const recordAdmission = (world: World, call: CallRow, now: Instant): void =>
  world.events.append({
    kind: EventKind.CallAdmitted,
    subject: {
      request: call.requestId,
      route: call.route,
      service: call.service,
      workspace: call.workspace,
      declaration: readDeclarationVersion(world),
      freshForMilliseconds: computeFreshMilliseconds(world, now),
      remainingMilliseconds: Math.round(call.callDeadline - now),
    },
  });

/** Records the selection of an upstream, with its load at that time. */
export const recordSendStart = (
  world: World,
  call: CallRow,
  upstream: RegistrationRow,
  now: Instant,
): void =>
  world.events.append({
    kind: EventKind.SendStarted,
    subject: {
      request: call.requestId,
      upstream: upstream.id,
      zone: upstream.zone,
      softwareVersion: upstream.softwareVersion,
      running: upstream.ownRunning,
      slots: upstream.slots,
      registeredForMilliseconds: Math.round(upstream.reportDeadline - now),
      attempt: call.triedUpstreams.length + 1,
    },
  });

/** Records the outcome and the duration of a send, and the content that an upstream did not finish. */
export const recordSendEnd = (
  world: World,
  send: SendRow,
  { outcome, reason }: SendResult,
  now: Instant,
): void => {
  const tookMilliseconds = Math.round(now - send.startedAt);
  const call = world.calls.get(send.call);
  const { fingerprint = null } = call ?? {};
  world.metrics.count('sends.ended', 1, { outcome });
  world.metrics.observe('sends.latency', tookMilliseconds, { outcome });
  world.events.append({
    kind: EventKind.SendEnded,
    subject: {
      request: call?.requestId ?? '',
      upstream: send.upstream,
      outcome,
      reason,
      tookMilliseconds,
      ...(isContentNoted[outcome] && fingerprint !== null ? { fingerprint } : {}),
    },
  });
};

/**
 * Records the end of a call, with its duration; `inputs` are added to the event. What decided comes
 * first, because some collectors cut lines, and names and paths of callers have any length.
 */
export const recordCallEnd = (
  world: World,
  call: CallRow,
  kind: keyof typeof endLabels,
  inputs: EventSubject,
  now: Instant,
): void => {
  const tookMilliseconds = Math.round(now - call.arrivedAt);
  const { route } = call;
  const { refusal, homeRegions, candidateRegions, ...otherInputs } = inputs;
  const decidingInputs = {
    ...(refusal === undefined ? {} : { refusal }),
    ...(homeRegions === undefined ? {} : { homeRegions, candidateRegions }),
  };
  world.metrics.observe('calls.latency', tookMilliseconds, { route, end: endLabels[kind] });
  world.events.append({
    kind,
    subject: {
      ...decidingInputs,
      declaration: readDeclarationVersion(world),
      freshForMilliseconds: computeFreshMilliseconds(world, now),
      attempts: call.attempts,
      tookMilliseconds,
      request: call.requestId,
      route,
      service: call.service,
      ...otherInputs,
    },
  });
};
