/**
 * Route on which upstreams announce themselves. It validates announcements and queues them for the
 * systems.
 */
import { Hono } from 'hono';
import {
  announcementPath,
  announcementSchema,
} from '../../../service/protocol/common/upstreamProtocol.js';
import { createRefusal, RefusalKind } from '../../../service/traffic/common/refusal.js';
import type { World } from '../../../service/world/common/world.js';
import { describeValidationIssues, parseJson, type RouteEnvironment } from './decoding.js';
import { createErrorResponse } from './errorResponse.js';

const acceptedStatus = 204;

/** Creates the routes of upstreams. `wake` requests a tick. */
export const createUpstreamRoutes = (world: World, wake: () => void): Hono<RouteEnvironment> => {
  const routes = new Hono<RouteEnvironment>();

  const handleAnnouncement = (value: unknown): Response => {
    const parsed = announcementSchema.safeParse(value);
    if (!parsed.success) {
      const detail = describeValidationIssues(parsed.error);
      return createErrorResponse(createRefusal(RefusalKind.BodyInvalid, true, detail));
    }
    world.arrivedAnnouncements.append({ announcement: parsed.data, isDirect: true });
    wake();
    return new Response(null, { status: acceptedStatus });
  };

  routes.post(announcementPath, async (context) =>
    parseJson(await context.req.text()).match(handleAnnouncement, () =>
      createErrorResponse(createRefusal(RefusalKind.BodyNotJson, true)),
    ),
  );
  return routes;
};
