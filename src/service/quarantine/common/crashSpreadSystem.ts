/**
 * Sends the crash records of this daemon to its contacts until they acknowledge them. An entry
 * sends what it recorded itself to control daemons, which pass records on to each other and to
 * their entries. A contact that restarted or was out of touch gets all records.
 */
import { deadlineAfter, never, remainingUntil, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { isHeardFrom } from '../../membership/common/contacts.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { maximumRecordsPerMessage } from './crashMessages.js';
import { ownRevisionOf, passOnDueRecords } from './crashRecords.js';
import { crashHolderOf, type CrashReceiverRow } from './quarantineTables.js';

/** Time without an acknowledgement after which records are sent again; several round trips. */
const resendMilliseconds = 400;

/** Adds, restarts or removes the receiver row of a daemon by what is known of it. */
const updateReceiver = (world: World, id: DaemonId, now: Instant): void => {
  const daemon = world.daemons.get(id);
  const receiver = world.crashReceivers.get(id);
  if (daemon === undefined || daemon.isSelf || !daemon.isContact || !isHeardFrom(daemon)) {
    if (receiver !== undefined) world.crashReceivers.remove(id);
    return;
  }
  const { incarnation } = daemon;
  if (receiver?.incarnation === incarnation) return;
  world.crashReceivers.put({ id, incarnation, acknowledged: 0, sendDeadline: now });
};

const sendRecords = (world: World, receiver: CrashReceiverRow, now: Instant): void => {
  const ownRevision = ownRevisionOf(world);
  if (receiver.acknowledged >= ownRevision) {
    world.crashReceivers.change(receiver.id, { sendDeadline: never });
    return;
  }
  const holder = crashHolderOf(receiver.id, receiver.incarnation);
  const unsent = [...world.crashRecords.rows()]
    .filter((row) => row.revision > receiver.acknowledged && row.holder !== holder)
    .sort((first, second) => first.revision - second.revision);
  if (unsent.length === 0) {
    world.crashReceivers.change(receiver.id, { acknowledged: ownRevision, sendDeadline: never });
    return;
  }
  const sent = unsent.slice(0, maximumRecordsPerMessage);
  world.outgoingMessages.append({
    to: receiver.id,
    message: {
      kind: 'crashesReported',
      incarnation: world.incarnation,
      revision: sent.length < unsent.length ? sent.at(-1)!.revision : ownRevision,
      records: sent.map(({ id, ends, excusedEnds, expiryDeadline }) => ({
        fingerprint: id,
        ends: [...ends],
        excusedEnds: [...excusedEnds],
        remainingMilliseconds: remainingUntil(expiryDeadline, now),
      })),
    },
  });
  world.crashReceivers.change(receiver.id, {
    sendDeadline: deadlineAfter(now, resendMilliseconds),
  });
};

/** Has records sent to the receivers that are not about to acknowledge earlier ones. */
const wakeReceivers = (world: World, now: Instant): void =>
  [...world.crashReceivers.rows()]
    .filter(({ sendDeadline }) => sendDeadline === never)
    .forEach(({ id }) => world.crashReceivers.change(id, { sendDeadline: now }));

/** Creates the system that sends crash records. */
export const createCrashSpreadSystem = (world: World): System => {
  const daemonChanges = world.daemons.createChangeReader();
  const revisionChanges = world.ownCrashes.createChangeReader();
  return {
    name: 'crashSpread',
    run: (now) => {
      daemonChanges.take().forEach((id) => updateReceiver(world, id, now));
      passOnDueRecords(world, now);
      if (revisionChanges.take().length > 0) wakeReceivers(world, now);
      world.crashReceivers
        .takeDue('send', now)
        .forEach((receiver) => sendRecords(world, receiver, now));
    },
  };
};
