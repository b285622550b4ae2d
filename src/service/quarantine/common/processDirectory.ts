/**
 * What a daemon knows about the processes of upstreams, by the profile of the installation.
 */
import { hasFreshSettings } from '../../configuration/common/keyChecks.js';
import { isDeclarationFresh } from '../../declaration/common/findRoute.js';
import type { Instant } from '../../../base/common/time.js';
import type { ChangeReader } from '../../../infrastructure/tables/common/table.js';
import { RegistrationState } from '../../registry/common/registryTables.js';
import { UpstreamState } from '../../protocol/common/upstreamProtocol.js';
import type { UpstreamRow } from '../../membership/common/membershipTables.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { UpstreamProcess } from './quarantineTables.js';

/** The listed processes of upstreams. */
export interface ProcessDirectory {
  readonly createChangeReader: (world: World) => ChangeReader<UpstreamId>;
  /** Returns the latest known process of an upstream. */
  readonly find: (world: World, upstream: UpstreamId) => UpstreamProcess | undefined;
  /** Whether a later process has started in the place of this one. */
  readonly hasLaterStart: (world: World, process: UpstreamProcess) => boolean;
  /** Whether the process has announced that it leaves, so that its end is planned. */
  readonly hasAnnouncedLeaving: (world: World, process: UpstreamProcess) => boolean;
  /** Whether this daemon would know of the reports of a process that lives. */
  readonly isCurrent: (world: World, now: Instant) => boolean;
}

const findRegistered = (world: World, upstream: UpstreamId): UpstreamProcess | undefined => {
  const row = world.registrations.get(upstream);
  return row && { upstream, address: row.address, startedAt: row.startedAt };
};

const isLaterThan =
  ({ startedAt }: UpstreamProcess) =>
  (other: Pick<UpstreamProcess, 'startedAt'> | undefined): boolean =>
    other !== undefined && other.startedAt > startedAt;

/** Processes that register with control daemons. */
export const registeredProcesses: ProcessDirectory = {
  createChangeReader: (world) => world.registrations.createChangeReader(),
  find: findRegistered,
  hasLaterStart: (world, process) =>
    [
      world.registrations.get(process.upstream),
      ...world.registrations.where('address', process.address),
    ].some(isLaterThan(process)),
  hasAnnouncedLeaving: (world, { upstream, startedAt }) => {
    const row = world.registrations.get(upstream);
    const isDraining = row?.state === RegistrationState.Draining && row.startedAt === startedAt;
    const departure = world.upstreamDepartures.get(upstream);
    return isDraining || (departure !== undefined && departure.startedAt >= startedAt);
  },
  isCurrent: isDeclarationFresh,
};

const defaultPortByScheme: Readonly<Record<string, string>> = { 'http:': '80', 'https:': '443' };

/** Returns the `host:port` of the base address of an upstream. */
const hostAndPortOf = (address: string): string => {
  const { protocol, hostname, port } = new URL(address);
  return `${hostname}:${port === '' ? defaultPortByScheme[protocol] : port}`;
};

/** Returns the process of an upstream that announces itself. */
export const announcedProcessOf = ({ id, address, incarnation }: UpstreamRow): UpstreamProcess => ({
  upstream: id,
  address: hostAndPortOf(address),
  startedAt: incarnation,
});

const findAnnounced = (world: World, upstream: UpstreamId): UpstreamProcess | undefined => {
  const row = world.upstreams.get(upstream);
  return row && announcedProcessOf(row);
};

/**
 * Processes that announce themselves to entries. Incarnations of different upstreams cannot be
 * compared, so a later start counts only under the same name.
 */
export const announcedProcesses: ProcessDirectory = {
  createChangeReader: (world) => world.upstreams.createChangeReader(),
  find: findAnnounced,
  hasLaterStart: (world, process) => isLaterThan(process)(findAnnounced(world, process.upstream)),
  hasAnnouncedLeaving: (world, { upstream, startedAt }) => {
    const row = world.upstreams.get(upstream);
    return row?.incarnation === startedAt && row.state !== UpstreamState.Serving;
  },
  isCurrent: hasFreshSettings,
};
