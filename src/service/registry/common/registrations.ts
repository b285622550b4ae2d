/**
 * Registrations as daemons exchange them. The control daemon to which an upstream reports repeats
 * its reports in heartbeats to the other control daemons; entries receive the registrations of one
 * control daemon as a list, without the columns that only the leader uses.
 */
import { remainingUntil, type Instant, type Milliseconds } from '../../../base/common/time.js';
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
    RegistrationRow,
    | 'state'
    | 'address'
    | 'service'
    | 'zone'
    | 'slots'
    | 'isReclaimable'
    | 'startedAt'
    | 'softwareVersion'
    | 'coldDeadline'
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
    row.coldDeadline,
  ].join('|');

/** Returns the columns of a row that its upstream reported. */
const createRegistration = (
  {
    id,
    coldDeadline,
    isColdReported,
    firstHeardAt: _firstHeardAt,
    reportDeadline: _reportDeadline,
    repeatDeadline: _repeatDeadline,
    avoidDeadline: _avoidDeadline,
    isListed: _isListed,
    ownRunning: _ownRunning,
    ...reported
  }: RegistrationRow,
  now: Instant,
): Registration => ({
  upstream: id,
  ...reported,
  ...(isColdReported ? { coldMilliseconds: remainingUntil(coldDeadline, now) } : {}),
});

/** Returns the reports that upstreams recently sent to this daemon. */
export const listOwnReports = (world: World, now: Instant): Registration[] =>
  [...world.registrations.rows()]
    .filter(({ repeatDeadline }) => repeatDeadline > now)
    .map((row) => createRegistration(row, now));

/** Returns all registrations without their models, which entries do not use. */
export const listRegistrationsForEntries = (world: World, now: Instant): Registration[] =>
  [...world.registrations.rows()].map((row) => ({ ...createRegistration(row, now), models: [] }));
