/**
 * Takes reports of upstreams. A report that is older than what is known changes nothing; one of a new
 * start at an address ends the row of the start before it.
 */
import type { z } from 'zod';
import { asBrand } from '../../../base/common/brand.js';
import type { HandlerTable } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import {
  RegistrationState,
  type Registration,
  type RegistrationRow,
  type upstreamRegisteredSchema,
} from './registryTables.js';

/** Reports come about every second and may be late by some; four missed ones end a row. */
const silenceMilliseconds = 5_000;

/** Late reports of an upstream that has left come within this time. */
const goneMilliseconds = 20_000;

/** How long each state is kept without a further report. */
const retentionOf: Readonly<Record<RegistrationState, number>> = {
  ready: silenceMilliseconds,
  draining: silenceMilliseconds,
  gone: goneMilliseconds,
};

const isOlder = (registration: Registration, known: RegistrationRow): boolean => {
  if (registration.startedAt !== known.startedAt) return registration.startedAt < known.startedAt;
  return known.state === RegistrationState.Gone || registration.sequence < known.sequence;
};

const endEarlierStarts = (world: World, row: RegistrationRow): void =>
  world.registrations
    .where('address', row.address)
    .filter((other) => other.id !== row.id && other.startedAt < row.startedAt)
    .forEach((other) => world.registrations.remove(other.id));

const isOutlived = (world: World, registration: Registration): boolean =>
  world.registrations
    .where('address', registration.address)
    .some(
      (other) => other.id !== registration.upstream && other.startedAt > registration.startedAt,
    );

const recordChange = (world: World, row: RegistrationRow, before?: RegistrationRow): void => {
  if (before?.state === row.state && before.startedAt === row.startedAt) return;
  const { id, state, address, service } = row;
  world.events.append({
    kind: EventKind.RegistrationChanged,
    subject: { upstream: id, state, address, service },
  });
};

const takeRegistration = (world: World, registration: Registration, now: Instant): void => {
  const { upstream, ...columns } = registration;
  const id = asBrand<UpstreamId>(upstream);
  const known = world.registrations.get(id);
  if (known !== undefined && isOlder(registration, known)) return;
  if (isOutlived(world, registration)) return;
  const isSameStart = known?.startedAt === registration.startedAt;
  const row = world.registrations.put({
    ...columns,
    id,
    reportDeadline: deadlineAfter(now, retentionOf[registration.state]),
    avoidDeadline: isSameStart ? known.avoidDeadline : Number.NEGATIVE_INFINITY,
    ownRunning: known?.ownRunning ?? 0,
  });
  endEarlierStarts(world, row);
  recordChange(world, row, known);
};

const tellOthers = (world: World, registration: Registration): void =>
  [...world.daemons.rows()]
    .filter((daemon) => !daemon.isSelf)
    .forEach((daemon) =>
      world.outgoingMessages.append({
        to: daemon.id,
        message: { kind: 'upstreamRegistered', registration },
      }),
    );

/** What a daemon does with the messages of the registry. */
export const registryHandlers: HandlerTable<
  z.infer<typeof upstreamRegisteredSchema>,
  void,
  [World, DaemonRow, Instant]
> = {
  upstreamRegistered: ({ registration }, world) => {
    world.arrivedRegistrations.append({ registration, isDirect: false });
  },
};

/** Creates the system of the registry. */
export const createRegistrySystem = (world: World): System => ({
  name: 'registry',
  run: (now) => {
    world.arrivedRegistrations.takeAll().forEach(({ registration, isDirect }) => {
      if (isDirect) tellOthers(world, registration);
      takeRegistration(world, registration, now);
    });
    world.registrations.takeDue('report', now).forEach(({ id }) => {
      world.registrations.remove(id);
      world.metrics.count('registry.silent');
    });
  },
});
