/**
 * Dispatches each received message to the handler of its kind on each tick. The table combines the
 * handlers of all components, and the compiler checks that every kind has one. Messages of unknown
 * senders are counted and dropped.
 */
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { consensusHandlers } from '../../consensus/common/consensusHandlers.js';
import { demandHandlers } from '../../admission/common/demandMessages.js';
import { originHandlers } from '../../forwarding/common/originSystem.js';
import { contentHandlers } from '../../jobs/common/contentHolding.js';
import { engineLoadHandlers } from '../../jobs/common/engineLoads.js';
import { jobReadHandlers } from '../../jobs/common/jobReads.js';
import { registryHandlers } from '../../registry/common/registrySystem.js';
import { insertMember } from '../../membership/common/daemonRows.js';
import { membershipHandlers } from '../../membership/common/membershipHandlers.js';
import { crashHandlers } from '../../quarantine/common/crashMessages.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import { coldHandlers } from '../../places/common/coldPermits.js';
import { bodyHandlers } from '../../rollout/common/bodyHandlers.js';
import type { World } from '../../world/common/world.js';
import type { IncomingMessage, Message } from './message.js';

/** Arguments of a handler after the message: the world, the sender and the current time. */
export type MessageContext = [World, DaemonRow, Instant];

const handlers: HandlerTable<Message, void, MessageContext> = {
  ...membershipHandlers,
  ...consensusHandlers,
  ...demandHandlers,
  ...crashHandlers,
  ...bodyHandlers,
  ...registryHandlers,
  ...jobReadHandlers,
  ...contentHandlers,
  ...engineLoadHandlers,
  ...originHandlers,
  ...coldHandlers,
};

/**
 * Returns the row of the sender, or undefined if it is unknown. The first heartbeat of a sender
 * that announces itself inserts its row.
 */
const resolveSender = (
  world: World,
  { from, message }: IncomingMessage,
  now: Instant,
): DaemonRow | undefined => {
  const existing = world.daemons.get(from);
  if (existing !== undefined || message.kind !== 'heartbeat' || message.member === undefined) {
    return existing;
  }
  return insertMember(world, message.member, now);
};

/** Creates the inbox system. */
export const createInboxSystem = (world: World): System => ({
  name: 'inbox',
  run: (now) =>
    world.incomingMessages.takeAll().forEach((incoming) => {
      const sender = resolveSender(world, incoming, now);
      if (sender === undefined) world.metrics.count('messages.unknownSender');
      else dispatchByKind(handlers, incoming.message, world, sender, now);
    }),
});
