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
  /** Has left; kept for a while so that late reports of it change nothing. */
  Gone: 'gone',
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
  /** Weight version of each model that it serves. */
  models: z.array(z.object({ name: z.string(), version: z.number().int() })),
  /** Wall clock of its start in milliseconds; tells two starts under one identifier apart. */
  startedAt: z.number(),
  /** Rises with each report of one start. */
  sequence: z.number(),
});
export type Registration = z.infer<typeof registrationSchema>;

/** A control daemon tells the others what an upstream has reported to it. */
export const upstreamRegisteredSchema = z.object({
  kind: z.literal('upstreamRegistered'),
  registration: registrationSchema,
});

export interface RegistrationRow extends Omit<Registration, 'upstream'> {
  readonly id: UpstreamId;
  /** When the row is dropped unless a report comes. */
  readonly reportDeadline: Instant;
  /** Until when it gets nothing new after a failure, where another upstream can run it. */
  readonly avoidDeadline: Instant;
  /** Sends of this daemon that it runs. */
  readonly ownRunning: number;
}

export interface ArrivedRegistration {
  readonly registration: Registration;
  /** Whether it came from the upstream itself, and must be told to the other daemons. */
  readonly isDirect: boolean;
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
  arrivedRegistrations: createRowQueue<ArrivedRegistration>(
    'arrivedRegistrations',
    RowReader.System,
  ),
});
