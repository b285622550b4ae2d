/**
 * Hands each message that has come to the handler of its kind. The table is put together from those of
 * the subjects; the type checker proves that no kind is without a handler.
 */
import { dispatchByKind, type HandlerTable } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { consensusHandlers } from '../../consensus/common/consensusHandlers.js';
import { demandHandlers } from '../../admission/common/demandMessages.js';
import { quarantineHandlers } from '../../dispatch/common/quarantine.js';
import { jobReadHandlers } from '../../jobs/common/jobReads.js';
import { registryHandlers } from '../../registry/common/registrySystem.js';
import { insertMember } from '../../membership/common/daemonSystem.js';
import { membershipHandlers } from '../../membership/common/membershipHandlers.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import { bodyHandlers } from '../../rollout/common/bodyHandlers.js';
import type { World } from '../../world/common/world.js';
import type { IncomingMessage, Message } from './message.js';

/** What a handler is given besides the message: the world, the sender and the time. */
export type MessageContext = [World, DaemonRow, Instant];

const handlers: HandlerTable<Message, void, MessageContext> = {
  ...membershipHandlers,
  ...consensusHandlers,
  ...demandHandlers,
  ...quarantineHandlers,
  ...bodyHandlers,
  ...registryHandlers,
  ...jobReadHandlers,
};

/** The sender's row; one that announces itself gets its row by its first heartbeat. */
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

/** Creates the system of incoming messages. */
export const createInboxSystem = (world: World): System => ({
  name: 'inbox',
  run: (now) =>
    world.incomingMessages.takeAll().forEach((incoming) => {
      const sender = resolveSender(world, incoming, now);
      if (sender === undefined) world.metrics.count('messages.unknownSender');
      else dispatchByKind(handlers, incoming.message, world, sender, now);
    }),
});
