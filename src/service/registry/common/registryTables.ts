/**
 * Upstreams that have registered with a control daemon: one row for each start of an upstream.
 */
import { z } from 'zod';
import type { ValueOf } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { UpstreamId } from '../../world/common/identifiers.js';

export const RegistrationState = {
  Ready: 'ready',
  /** Finishes what it has and takes nothing new. */
  Draining: 'draining',
} as const;
export type RegistrationState = ValueOf<typeof RegistrationState>;

/** What an upstream says of itself. */
export const registrationSchema = z.object({
  upstream: z.string().min(1),
  service: z.string(),
  address: z.string(),
  zone: z.string(),
  state: z.enum(RegistrationState),
  slots: z.number().int().positive(),
  /** Whether it is cheap and may be taken away at short notice. */
  isReclaimable: z.boolean(),
  /** Weight version of each model that it serves. */
  models: z.array(z.object({ name: z.string(), version: z.number().int() })),
  /** Wall clock of its start in milliseconds; tells two starts under one identifier apart. */
  startedAt: z.number(),
  /** Rises with each report of one start. */
  sequence: z.number(),
});
export type Registration = z.infer<typeof registrationSchema>;

/** An upstream has said that it leaves, by its own report or by a last word without one. */
export const departureSchema = z.object({
  upstream: z.string().min(1),
  /** Starts up to this wall clock have left, in milliseconds. */
  startedAt: z.number(),
});
export type Departure = z.infer<typeof departureSchema>;

/** A control daemon tells the others what an upstream has reported to it. */
export const upstreamRegisteredSchema = z.object({
  kind: z.literal('upstreamRegistered'),
  registration: registrationSchema,
});

/** A control daemon tells the others at once of a departure; its heartbeats repeat it for a while. */
export const upstreamDepartedSchema = z.object({
  kind: z.literal('upstreamDeparted'),
  departure: departureSchema,
});

/** The messages of the registry. */
export type RegistryMessage =
  z.infer<typeof upstreamRegisteredSchema> | z.infer<typeof upstreamDepartedSchema>;

export interface RegistrationRow extends Omit<Registration, 'upstream'> {
  readonly id: UpstreamId;
  /** When the row is dropped unless a report comes. */
  readonly reportDeadline: Instant;
  /** Until when it gets nothing new after a failure, where another upstream can run it. */
  readonly avoidDeadline: Instant;
  /** Sends of this daemon that it runs. */
  readonly ownRunning: number;
}

export interface ReceivedRegistration {
  readonly registration: Registration;
  /** Whether it came from the upstream itself, and must be told to the other daemons. */
  readonly isDirect: boolean;
}

/** An upstream that has left; late reports of its starts until then change nothing. */
export interface DepartureRow extends Omit<Departure, 'upstream'> {
  readonly id: UpstreamId;
  /** When late reports of it can't come any more. */
  readonly retentionDeadline: Instant;
  /** Until when other daemons are told with each heartbeat. */
  readonly announcementDeadline: Instant;
}

/** A departure as a port has decoded it; `startedAt` is null where the upstream did not say it. */
export interface ReceivedDeparture extends Omit<Departure, 'startedAt'> {
  readonly startedAt: number | null;
}

export const createRegistryTables = () => ({
  registrations: createTable<RegistrationRow, 'service' | 'address', 'report'>({
    name: 'registrations',
    indices: {
      service: (row) => (row.state === RegistrationState.Ready ? row.service : undefined),
      address: (row) => row.address,
    },
    deadlines: { report: (row) => row.reportDeadline },
  }),
  upstreamDepartures: createTable<DepartureRow, never, 'retention'>({
    name: 'upstreamDepartures',
    indices: {},
    deadlines: { retention: (row) => row.retentionDeadline },
  }),
  arrivedRegistrations: createRowQueue<ReceivedRegistration>(
    'arrivedRegistrations',
    RowReader.System,
  ),
  arrivedDepartures: createRowQueue<ReceivedDeparture>('arrivedDepartures', RowReader.System),
});
