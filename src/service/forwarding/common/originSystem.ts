/**
 * Shares the origins of streams with control daemons, and answers questions for them. A control
 * daemon that does not know an origin passes the question on to the others, because an entry shares
 * its origins with few of them. Runs each tick, after the sends of the tick.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { HandlerTable } from '../../../base/common/handlers.js';
import {
  deadlineAfter,
  never,
  remainingUntil,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { isControlDaemon, listOtherControlDaemons } from '../../membership/common/contacts.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId, UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { OriginMessage } from './originMessages.js';
import { continueStream } from './streamContinuation.js';
import {
  putStreamOrigin,
  unsharedGroup,
  type StreamOriginRow,
  type StreamRequestId,
} from './streamOrigins.js';

/** Time in which the other control daemons answer; the caller's daemon has given up by then. */
const questionMilliseconds: Milliseconds = 1_000;

/**
 * Time after which the report of an upstream that started again has arrived, so that a request was
 * not sent to a later start than its registration says.
 */
const uncertainMilliseconds: Milliseconds = 3_000;

type OriginGroup = Extract<OriginMessage, { kind: 'streamsBegun' }>['origins'][number];

const groupOrigins = (origins: readonly StreamOriginRow[], now: Instant): OriginGroup[] => {
  const groups = new Map<string, OriginGroup>();
  origins.forEach(({ id, service, softwareVersion, expiryDeadline }) => {
    const key = JSON.stringify([service, softwareVersion]);
    const group = groups.get(key);
    const remaining = Math.max(group?.remaining ?? 0, remainingUntil(expiryDeadline, now));
    const requests = [...(group?.requests ?? []), id];
    groups.set(key, { service, softwareVersion, remaining, requests });
  });
  return [...groups.values()];
};

const shareOrigins = (world: World, origins: readonly StreamOriginRow[], now: Instant): void => {
  origins.forEach(({ id }) => world.streamOrigins.change(id, { shareDeadline: never }));
  const message = { kind: 'streamsBegun', origins: groupOrigins(origins, now) } as const;
  listOtherControlDaemons(world)
    .filter(({ isContact }) => isContact)
    .forEach(({ id: to }) => world.outgoingMessages.append({ to, message }));
};

/** Shares all origins that wait for it as soon as one of them is due. */
const shareDueOrigins = (world: World, now: Instant): void => {
  if (world.streamOrigins.takeDue('share', now).length === 0) return;
  shareOrigins(world, world.streamOrigins.where('unshared', unsharedGroup), now);
};

const answerQuestion = (world: World, to: DaemonId, row: StreamOriginRow, now: Instant): void => {
  const { id: request, service, softwareVersion, expiryDeadline } = row;
  const origin = { service, softwareVersion, remaining: remainingUntil(expiryDeadline, now) };
  world.outgoingMessages.append({ to, message: { kind: 'streamOriginFound', request, origin } });
};

/** Passes a question of an entry on to the other control daemons, which know different origins. */
const passQuestionOn = (world: World, request: string, asker: DaemonRow, now: Instant): void => {
  if (!isControlDaemon(world) || asker.isControl) return;
  world.originQuestions.put({
    id: asBrand(`${request}/${asker.id}`),
    request: asBrand(request),
    asker: asker.id,
    expiryDeadline: deadlineAfter(now, questionMilliseconds),
  });
  listOtherControlDaemons(world).forEach(({ id: to }) =>
    world.outgoingMessages.append({ to, message: { kind: 'streamOriginAsked', request } }),
  );
};

/** Handlers of the messages about origins. */
export const originHandlers: HandlerTable<OriginMessage, void, [World, DaemonRow, Instant]> = {
  streamsBegun: ({ origins }, world, _, now) =>
    origins.forEach(({ service, softwareVersion, remaining, requests }) =>
      requests.forEach((request) =>
        putStreamOrigin(world, {
          id: asBrand(request),
          service,
          softwareVersion,
          upstream: null,
          sentAt: now,
          shareDeadline: never,
          expiryDeadline: deadlineAfter(now, remaining),
        }),
      ),
    ),
  streamOriginAsked: ({ request }, world, asker, now) => {
    const origin = world.streamOrigins.get(asBrand<StreamRequestId>(request));
    if (origin === undefined) passQuestionOn(world, request, asker, now);
    else answerQuestion(world, asker.id, origin, now);
  },
  streamOriginFound: ({ request, origin }, world, _, now) => {
    const id = asBrand<StreamRequestId>(request);
    const row: StreamOriginRow = {
      id,
      service: origin.service,
      softwareVersion: origin.softwareVersion,
      upstream: null,
      sentAt: now,
      shareDeadline: never,
      expiryDeadline: deadlineAfter(now, origin.remaining),
    };
    world.originQuestions.where('request', id).forEach((question) => {
      answerQuestion(world, question.asker, row, now);
      world.originQuestions.remove(question.id);
    });
    world.calls.where('locating', id).forEach((call) => continueStream(world, call, origin, now));
  },
};

/** Marks origins as uncertain whose upstream may have been a later start with other software. */
const doubtOrigins = (world: World, upstream: UpstreamId, now: Instant): void => {
  const registration = world.registrations.get(upstream);
  if (registration === undefined) return;
  world.streamOrigins
    .where('upstream', upstream)
    .filter(
      ({ softwareVersion, sentAt }) =>
        softwareVersion !== null &&
        softwareVersion !== registration.softwareVersion &&
        now < sentAt + uncertainMilliseconds,
    )
    .forEach(({ id }) =>
      world.streamOrigins.change(id, { softwareVersion: null, shareDeadline: now }),
    );
};

/** Creates the system that shares origins and removes expired ones. */
export const createOriginSystem = (world: World): System => {
  const registrationChanges = world.registrations.createChangeReader();
  return {
    name: 'origin',
    run: (now) => {
      registrationChanges.take().forEach((id) => doubtOrigins(world, id, now));
      shareDueOrigins(world, now);
      world.streamOrigins
        .takeDue('expiry', now)
        .forEach(({ id }) => world.streamOrigins.remove(id));
      world.originQuestions
        .takeDue('expiry', now)
        .forEach(({ id }) => world.originQuestions.remove(id));
    },
  };
};
