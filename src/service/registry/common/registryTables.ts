/**
 * The tables and messages of the registry: upstreams that have registered with a control daemon,
 * and recent departures. There is one registration row per upstream identifier, for its latest
 * start. The rows are not replicated through the log; control daemons exchange registrations and
 * departures, and send them to the entries that contact them.
 */
import * as z from 'zod';
import type { ValueOf } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { UpstreamId } from '../../world/common/identifiers.js';

/** States that an upstream reports. */
export const RegistrationState = {
  Ready: 'ready',
  /** Finishes its running requests and accepts no new ones. */
  Draining: 'draining',
} as const;
export type RegistrationState = ValueOf<typeof RegistrationState>;

/** Characters of a software version; release names and digests are shorter. */
export const maximumSoftwareVersionLength = 256;

/** The report that an upstream sends about itself. */
export const registrationSchema = z.object({
  upstream: z.string().min(1),
  service: z.string(),
  address: z.string(),
  zone: z.string(),
  state: z.enum(RegistrationState),
  slots: z.number().int().positive(),
  /** Whether the upstream is cheap and may be reclaimed at short notice. */
  isReclaimable: z.boolean(),
  /**
   * Version of the software that the upstream runs, which is not that of its weights; null if a
   * daemon that does not pass it on relayed the report. Versions are only compared for equality.
   */
  softwareVersion: z.string().max(maximumSoftwareVersionLength).nullable().default(null),
  /** Weight version of each model that the upstream serves. */
  models: z.array(z.object({ name: z.string(), version: z.number().int() })),
  /**
   * Wall-clock time of its start in milliseconds; distinguishes two starts under one identifier.
   */
  startedAt: z.number(),
  /** Increases with each report of the same start. */
  sequence: z.number(),
  /**
   * Time for which the upstream stays cold, counted from the time of sending; absent if its reports
   * do not say, or if a daemon that does not pass it on relayed them.
   */
  coldMilliseconds: z.number().nonnegative().optional(),
});
export type Registration = z.infer<typeof registrationSchema>;

/** The departure of an upstream that has announced its shutdown. */
export const departureSchema = z.object({
  upstream: z.string().min(1),
  /** Starts up to and including this wall-clock time, in milliseconds, have departed. */
  startedAt: z.number(),
});
export type Departure = z.infer<typeof departureSchema>;

/** Sent when the report of an upstream differs from its previous one. */
export const upstreamRegisteredSchema = z.object({
  kind: z.literal('upstreamRegistered'),
  registration: registrationSchema,
});

/** Sent by a control daemon immediately after a departure; its heartbeats repeat it for a while. */
export const upstreamDepartedSchema = z.object({
  kind: z.literal('upstreamDeparted'),
  departure: departureSchema,
});

/** One start of an upstream. */
export const upstreamStartSchema = z.object({
  upstream: z.string().min(1),
  /** Wall-clock time of the start, in milliseconds. */
  startedAt: z.number(),
});
export type UpstreamStart = z.infer<typeof upstreamStartSchema>;

/** Sent when an upstream has said in an answer that it is leaving. */
export const upstreamLeavingSchema = z.object({
  kind: z.literal('upstreamLeaving'),
  start: upstreamStartSchema,
});

/** All messages of the registry. */
export type RegistryMessage =
  | z.infer<typeof upstreamRegisteredSchema>
  | z.infer<typeof upstreamDepartedSchema>
  | z.infer<typeof upstreamLeavingSchema>;

/** The latest registration of an upstream, with the state that this daemon keeps about it. */
export interface RegistrationRow extends Omit<Registration, 'upstream' | 'coldMilliseconds'> {
  readonly id: UpstreamId;
  /** Time until which it is cold by its reports; negative infinity if they have not said so. */
  readonly coldDeadline: Instant;
  /** Whether reports of this start say for how long it is cold. */
  readonly isColdReported: boolean;
  /** Time at which this daemon first heard of this start. */
  readonly firstHeardAt: Instant;
  /** Time at which the row is removed unless another report arrives. */
  readonly reportDeadline: Instant;
  /** Time until which heartbeats repeat the report that the upstream sent to this daemon. */
  readonly repeatDeadline: Instant;
  /** Whether it is in the list of the daemon from which this one receives its lists. */
  readonly isListed: boolean;
  /** Time until which, after a failure, new work goes to other upstreams if they can run it. */
  readonly avoidDeadline: Instant;
  /** Number of requests of this daemon that are running on the upstream. */
  readonly ownRunning: number;
}

/** A registration as decoded by a port or received from another daemon. */
export interface ReceivedRegistration {
  readonly registration: Registration;
  /** Whether it came from the upstream itself and must be broadcast to the other daemons. */
  readonly isDirect: boolean;
}

/** An upstream that has departed; late reports of its starts up to `startedAt` are ignored. */
export interface DepartureRow extends Omit<Departure, 'upstream'> {
  readonly id: UpstreamId;
  /** Time at which the row is removed, because late reports can no longer arrive. */
  readonly retentionDeadline: Instant;
  /** Time until which heartbeats to other daemons repeat the departure. */
  readonly announcementDeadline: Instant;
}

/** An upstream that said in an answer that it is leaving, in its start `startedAt`. */
export interface LeavingRow extends Omit<UpstreamStart, 'upstream'> {
  readonly id: UpstreamId;
  /** Time at which the row is removed, because the upstream has exited by then. */
  readonly retentionDeadline: Instant;
}

/** A departure as decoded by a port; `startedAt` is null if the upstream did not send it. */
export interface ReceivedDeparture extends Omit<Departure, 'startedAt'> {
  readonly startedAt: number | null;
}

/** Creates the tables and queues of the registry. */
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
  leavingUpstreams: createTable<LeavingRow, never, 'retention'>({
    name: 'leavingUpstreams',
    indices: {},
    deadlines: { retention: (row) => row.retentionDeadline },
  }),
  /** Answers in which an upstream said that it is leaving. */
  leavingFacts: createRowQueue<UpstreamStart>('leavingFacts', RowReader.System),
  arrivedRegistrations: createRowQueue<ReceivedRegistration>(
    'arrivedRegistrations',
    RowReader.System,
  ),
  arrivedDepartures: createRowQueue<ReceivedDeparture>('arrivedDepartures', RowReader.System),
});
