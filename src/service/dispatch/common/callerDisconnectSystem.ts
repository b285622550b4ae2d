/**
 * Handles requests whose caller has disconnected: their running attempts are ended, and the tokens
 * generated so far are counted as wasted.
 */
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { cancelRequest, hasRequestEnded } from '../../traffic/common/endRequest.js';
import { createRefusal, RefusalKind } from '../../traffic/common/refusal.js';
import type { RequestId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { endRunningAttempts } from './endAttempt.js';

const handleCallerDisconnect = (world: World, id: RequestId, now: Instant): void => {
  const request = world.requests.get(id);
  if (request === undefined || hasRequestEnded(request)) return;
  const wasWritten = endRunningAttempts(world, request, RefusalKind.CallerDisconnected);
  const notRun = !request.mayHaveRun && !wasWritten;
  cancelRequest(world, request, createRefusal(RefusalKind.CallerDisconnected, notRun), now);
};

/** Creates the system that handles disconnected callers. */
export const createCallerDisconnectSystem = (world: World): System => ({
  name: 'departure',
  run: (now) => world.departures.takeAll().forEach((id) => handleCallerDisconnect(world, id, now)),
});
