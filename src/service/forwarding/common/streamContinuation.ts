/**
 * Places calls that take up a stream: it goes on only at the software version that began it. The
 * daemon looks the origin of the stream up, or asks its control daemons for it; without an answer in
 * time, or if no upstream of that version serves, the call is refused without being sent.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import { listOtherControlDaemons } from '../../membership/common/contacts.js';
import { isPlaceAllowed } from '../../places/common/eligibility.js';
import { hasAllowedUpstream } from '../../places/common/serviceChoice.js';
import type { World } from '../../world/common/world.js';
import { homesOfCall, refuseForPlacement } from './callPlaces.js';
import { CallRefusalKind } from './callRefusal.js';
import { refuseCall } from './endCall.js';
import { CallState, type CallRow } from './forwardingTables.js';
import type { StreamOriginRow, StreamRequestId } from './streamOrigins.js';

/**
 * Time to wait for an origin: a question and its answer between two regions, once passed on between
 * control daemons.
 */
const locationMilliseconds: Milliseconds = 200;

/** Whether an upstream of a software version serves at a place that is allowed for the call. */
const isVersionServed = (
  world: World,
  call: CallRow,
  service: string,
  softwareVersion: string,
): boolean => {
  const homes = homesOfCall(world, call);
  return world.registrations
    .where('service', service)
    .some((row) => row.softwareVersion === softwareVersion && isPlaceAllowed(world, row, homes));
};

/** Refuses a call whose stream cannot go on; it can begin anew where the home regions have upstreams. */
const refuseUnservedVersion = (
  world: World,
  call: CallRow,
  service: string,
  now: Instant,
): void => {
  const homes = homesOfCall(world, call);
  if (homes !== null && !hasAllowedUpstream(world, service, homes))
    refuseForPlacement(world, call, CallRefusalKind.NoUpstreamInHomes, now);
  else refuseForPlacement(world, call, CallRefusalKind.VersionNotServed, now);
};

/** Lets a call wait for an upstream of the software version that began its stream. */
export const continueStream = (
  world: World,
  call: CallRow,
  { service, softwareVersion }: Pick<StreamOriginRow, 'service' | 'softwareVersion'>,
  now: Instant,
): void => {
  world.events.append({
    kind: EventKind.StreamLocated,
    subject: {
      request: call.requestId,
      resumed: call.continuation?.request ?? '',
      service,
      softwareVersion,
    },
  });
  const isAllowed = call.continuation?.services.includes(service) === true;
  if (softwareVersion === null || !isAllowed)
    refuseCall(world, call, CallRefusalKind.OriginUnknown, now);
  else if (!isVersionServed(world, call, service, softwareVersion))
    refuseUnservedVersion(world, call, service, now);
  else
    world.calls.change(call.id, {
      state: CallState.Waiting,
      service,
      softwareVersion,
      // The time to offer the call to an upstream counts from when its service is known.
      offerDeadline: call.offerDeadline + (now - call.arrivedAt),
    });
};

const askForOrigin = (world: World, call: CallRow, request: string, now: Instant): void => {
  const locationDeadline = deadlineAfter(now, locationMilliseconds);
  world.calls.change(call.id, {
    state: CallState.Locating,
    locationDeadline: Math.min(locationDeadline, call.callDeadline),
  });
  listOtherControlDaemons(world)
    .filter(({ isContact }) => isContact)
    .forEach(({ id: to }) =>
      world.outgoingMessages.append({ to, message: { kind: 'streamOriginAsked', request } }),
    );
};

/** Looks up where the stream of an admitted call began; does nothing if the call begins one. */
export const locateStream = (world: World, call: CallRow, now: Instant): void => {
  if (call.continuation === null) return;
  const { request } = call.continuation;
  const origin =
    request === null ? undefined : world.streamOrigins.get(asBrand<StreamRequestId>(request));
  if (origin !== undefined) continueStream(world, call, origin, now);
  else if (request === null) refuseCall(world, call, CallRefusalKind.OriginUnknown, now);
  else askForOrigin(world, call, request, now);
};

/** Refuses the calls whose origin nobody has named in time. */
export const refuseUnlocatedCalls = (world: World, now: Instant): void =>
  world.calls
    .takeDue('location', now)
    .forEach((call) => refuseCall(world, call, CallRefusalKind.OriginUnknown, now));
