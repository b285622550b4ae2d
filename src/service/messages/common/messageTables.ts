/**
 * Queues of messages between the systems and the peer port.
 */
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import type { IncomingMessage, OutgoingMessage } from './message.js';

export const createMessageTables = () => ({
  incomingMessages: createRowQueue<IncomingMessage>('incomingMessages', RowReader.System),
  outgoingMessages: createRowQueue<OutgoingMessage>('outgoingMessages', RowReader.Port),
});
