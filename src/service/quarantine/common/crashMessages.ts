/**
 * Messages in which daemons exchange crash records. A daemon repeats its records until the receiver
 * acknowledges their revision, so that lost messages and restarted receivers need no other care.
 */
import * as z from 'zod';
import { asBrand } from '../../../base/common/brand.js';
import type { HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import { isControlDaemon } from '../../membership/common/contacts.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';
import {
  maximumEnds,
  mergeCrashRecord,
  ownRevisionOf,
  quarantineMilliseconds,
} from './crashRecords.js';
import type { Fingerprint } from './fingerprint.js';
import { crashHolderOf, type ProcessEnd } from './quarantineTables.js';

/** Records in one message, which bounds its size; there is usually one. */
export const maximumRecordsPerMessage = 32;

const endsSchema = z.array(z.string().min(1)).max(maximumEnds);

const crashRecordSchema = z.object({
  fingerprint: z.string().min(1),
  ends: endsSchema,
  excusedEnds: endsSchema,
  /** Time until the record expires. */
  remainingMilliseconds: z.number().nonnegative(),
});

export const crashesReportedSchema = z.object({
  kind: z.literal('crashesReported'),
  /** Incarnation of the sender, in which the revision counts. */
  incarnation: z.number().int().nonnegative(),
  /** Revision of the sender's records that the receiver holds after this message. */
  revision: z.number().int().positive(),
  records: z.array(crashRecordSchema).max(maximumRecordsPerMessage),
});

export const crashesReceivedSchema = z.object({
  kind: z.literal('crashesReceived'),
  /** Incarnation of the daemon that sent the records. */
  incarnation: z.number().int().nonnegative(),
  revision: z.number().int().positive(),
});

/** Messages of the quarantine between daemons. */
export type CrashMessage =
  z.infer<typeof crashesReportedSchema> | z.infer<typeof crashesReceivedSchema>;

/** Handlers of the messages of the quarantine, by `kind`. */
export const crashHandlers: HandlerTable<CrashMessage, void, [World, DaemonRow, Instant]> = {
  crashesReported: ({ records, incarnation, revision }, world, sender, now) => {
    records.forEach(({ fingerprint, ends, excusedEnds, remainingMilliseconds }) =>
      mergeCrashRecord(
        world,
        {
          id: asBrand<Fingerprint>(fingerprint),
          ends: ends.map((end) => asBrand<ProcessEnd>(end)),
          excusedEnds: excusedEnds.map((end) => asBrand<ProcessEnd>(end)),
          expiryDeadline: deadlineAfter(
            now,
            Math.min(remainingMilliseconds, quarantineMilliseconds),
          ),
        },
        {
          passOnDeadline: isControlDaemon(world) ? now : never,
          sender: crashHolderOf(sender.id, incarnation),
        },
      ),
    );
    const message = { kind: 'crashesReceived', incarnation, revision } as const;
    world.outgoingMessages.append({ to: sender.id, message });
  },
  crashesReceived: ({ incarnation, revision }, world, { id }, now) => {
    const receiver = world.crashReceivers.get(id);
    if (receiver === undefined || incarnation !== world.incarnation) return;
    const acknowledged = Math.max(receiver.acknowledged, revision);
    const isUpToDate = acknowledged >= ownRevisionOf(world);
    world.crashReceivers.change(id, {
      acknowledged,
      sendDeadline: isUpToDate ? never : now,
    });
  },
};
