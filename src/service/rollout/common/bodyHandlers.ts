/**
 * Handles the messages about bodies that other daemons send. The handlers queue rows for the port,
 * which holds the bytes and does the reading and writing; they record the results of copies
 * directly.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { HandlerTable } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';
import { recordCopyResult } from './bodyCopies.js';
import type { BodyMessage } from './bodyMessages.js';

/** Handlers of the messages about bodies, by `kind`. */
export const bodyHandlers: HandlerTable<BodyMessage, void, [World, DaemonRow, Instant]> = {
  bodyOffered: ({ body, lot, content }, world, { id: from }) => {
    world.bodyWrites.append({ body: asBrand(body), lot: asBrand(lot), from, content });
  },
  bodiesStored: ({ stored, failed }, world, { id: from }, now) => {
    stored.forEach((body) => recordCopyResult(world, asBrand(body), from, true, now));
    failed.forEach((body) => recordCopyResult(world, asBrand(body), from, false, now));
  },
  bodyAsked: ({ body, lot }, world, { id: from }) => {
    world.bodyLoads.append({ body: asBrand(body), lot: asBrand(lot), recipient: from });
  },
  bodyGiven: ({ body, content }, world) => {
    if (content !== null) world.bodyReceipts.append({ body: asBrand(body), content });
    world.bodyArrivals.append({ body: asBrand(body), found: content !== null });
  },
};
