/**
 * Registrations as daemons exchange them. The control daemon to which an upstream reports repeats
 * its reports in heartbeats to the other control daemons; entries receive the registrations of one
 * control daemon as a list, without the columns that only the leader uses.
 */
import type { Instant, Milliseconds } from '../../../base/common/time.js';
import type { World } from '../../world/common/world.js';
import { RegistrationState, type Registration, type RegistrationRow } from './registryTables.js';

/**
 * Reports arrive about every second and may be delayed; four missed reports remove the
 * registration.
 */
export const reportTimeoutMilliseconds: Milliseconds = 5_000;

/** Time for which a registration is kept without a further report, by its state. */
export const reportTimeoutsByState: Readonly<Record<RegistrationState, Milliseconds>> = {
  ready: reportTimeoutMilliseconds,
  draining: reportTimeoutMilliseconds,
};

/** Returns the columns of a registration that decide where requests are sent, as one value. */
export const routingFieldsOf = (
  row: Pick<
    Registration,
    | 'state'
    | 'address'
    | 'service'
    | 'zone'
    | 'slots'
    | 'isReclaimable'
    | 'startedAt'
    | 'softwareVersion'
  >,
): string =>
  [
    row.state,
    row.address,
    row.service,
    row.zone,
    row.slots,
    row.isReclaimable,
    row.startedAt,
    row.softwareVersion,
  ].join('|');

/** Returns the columns of a row that its upstream reported. */
const createRegistration = ({
  id,
  reportDeadline: _reportDeadline,
  repeatDeadline: _repeatDeadline,
  avoidDeadline: _avoidDeadline,
  isListed: _isListed,
  ownRunning: _ownRunning,
  ...reported
}: RegistrationRow): Registration => ({ upstream: id, ...reported });

/** Returns the reports that upstreams recently sent to this daemon. */
export const listOwnReports = (world: World, now: Instant): Registration[] =>
  [...world.registrations.rows()]
    .filter(({ repeatDeadline }) => repeatDeadline > now)
    .map(createRegistration);

/** Returns all registrations without their models, which entries do not use. */
export const listRegistrationsForEntries = (world: World): Registration[] =>
  [...world.registrations.rows()].map((row) => ({ ...createRegistration(row), models: [] }));
