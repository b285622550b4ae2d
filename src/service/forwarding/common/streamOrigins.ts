/**
 * The software versions that began resumable streams, by the identifier of the request that began
 * each. What two versions write does not fit together, so a stream goes on only at its version. The
 * rows of streams that this daemon passes on are shared with control daemons, in batches while the
 * streams are awaited and at the latest with their answers, because this daemon may have ended when
 * the caller takes the stream up elsewhere.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import {
  deadlineAfter,
  never,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { RegistrationRow } from '../../registry/common/registryTables.js';
import type { DaemonId, UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { CallRow, SendRow } from './forwardingTables.js';
import { maximumRequestLength } from './originMessages.js';

/** Identifier of the request that began a stream, as its caller supplied it. */
export type StreamRequestId = Brand<'streamRequest'>;

/** Where a stream began. */
export interface StreamOriginRow {
  readonly id: StreamRequestId;
  readonly service: string;
  /** Software version of the upstream; null if it is uncertain. */
  readonly softwareVersion: string | null;
  /** The upstream; null if the stream began on another daemon. */
  readonly upstream: UpstreamId | null;
  /** Time at which the request was sent to the upstream. */
  readonly sentAt: Instant;
  /** Time by which the row is shared; `never` once it is. */
  readonly shareDeadline: Instant;
  /** Time at which the row is removed, because its caller has given up by then. */
  readonly expiryDeadline: Instant;
}

/** A question for an origin that this control daemon has passed on to the others. */
export interface OriginQuestionRow {
  readonly id: Brand<'originQuestion'>;
  readonly request: StreamRequestId;
  readonly asker: DaemonId;
  readonly expiryDeadline: Instant;
}

/** Value of the index of origins that are to be shared. */
export const unsharedGroup = 'unshared';

export const createStreamOriginTables = () => ({
  streamOrigins: createTable<StreamOriginRow, 'upstream' | 'unshared', 'share' | 'expiry'>({
    name: 'streamOrigins',
    indices: {
      upstream: (row) => row.upstream ?? undefined,
      unshared: (row) => (row.shareDeadline === never ? undefined : unsharedGroup),
    },
    deadlines: { share: (row) => row.shareDeadline, expiry: (row) => row.expiryDeadline },
  }),
  originQuestions: createTable<OriginQuestionRow, 'request', 'expiry'>({
    name: 'originQuestions',
    indices: { request: (row) => row.request },
    deadlines: { expiry: (row) => row.expiryDeadline },
  }),
});

/** Rows of one daemon, about 300 bytes each; the oldest ones are removed beyond. */
const maximumOrigins = 50_000;

/** Batches of this time keep their overhead below that of the rows; an answer does not wait for it. */
const shareIntervalMilliseconds: Milliseconds = 300;

/** Time for which an origin is kept beyond the deadline of its request, for late resumptions. */
const expirySlackMilliseconds: Milliseconds = 2_000;

/** Time for which the origin of a request without a deadline is kept. */
const maximumLifetimeMilliseconds: Milliseconds = 120_000;

/** Inserts or replaces an origin, and removes the oldest one if there are too many. */
export const putStreamOrigin = (world: World, row: StreamOriginRow): void => {
  world.streamOrigins.put(row);
  if (world.streamOrigins.size() <= maximumOrigins) return;
  const [oldest] = world.streamOrigins.rows();
  world.streamOrigins.remove(oldest!.id);
  world.metrics.count('streams.originsDropped');
};

/** Records the upstream to which a request is sent that begins a resumable stream. */
export const recordStreamOrigin = (
  world: World,
  { requestId, service, callDeadline, isResumable, continuation }: CallRow,
  { id: upstream, softwareVersion }: RegistrationRow,
  now: Instant,
): void => {
  const isRecorded = isResumable && continuation === null;
  if (!isRecorded || requestId === '' || requestId.length > maximumRequestLength) return;
  putStreamOrigin(world, {
    id: asBrand(requestId),
    service,
    softwareVersion,
    upstream,
    sentAt: now,
    shareDeadline: deadlineAfter(now, shareIntervalMilliseconds),
    expiryDeadline: Math.min(
      deadlineAfter(callDeadline, expirySlackMilliseconds),
      deadlineAfter(now, maximumLifetimeMilliseconds),
    ),
  });
};

/** Lets the origin of a call be shared now, because its answer is passed on. */
export const shareStreamOrigin = (world: World, { requestId }: CallRow, now: Instant): void => {
  const origin = world.streamOrigins.get(asBrand<StreamRequestId>(requestId));
  if (origin === undefined || origin.shareDeadline === never) return;
  world.streamOrigins.change(origin.id, { shareDeadline: now });
};

/** Whether an upstream has started again with other software since a request was sent to it. */
export const hasOtherSoftwareSince = (world: World, send: SendRow): boolean => {
  const registration = world.registrations.get(send.upstream);
  return (
    registration !== undefined &&
    registration.startedAt !== send.process.startedAt &&
    registration.softwareVersion !== send.softwareVersion
  );
};
