/**
 * Validates a deployment file: first its schema, then the constraints between its values. Each
 * cross check is one entry of the list `deploymentChecks`.
 */
import type { Result } from 'neverthrow';
import { checkDocument } from './checkDocument.js';
import { deploymentSchema, Role, type DaemonSettings, type Deployment } from './deployment.js';
import { SettingsFaultKind, type SettingsFault } from './settingsFault.js';
import { findDuplicates, type Occurrence } from './uniqueness.js';

type DeploymentCheck = (deployment: Deployment) => readonly SettingsFault[];

/** With fewer heartbeats per suspicion time, one lost message would make a daemon suspected. */
const minimumHeartbeatsBeforeSuspicion = 3;
const maximumPort = 65_535;
const maximumIpAddressPart = 255;

const daemonSettingPath = (position: number, key: keyof DaemonSettings): string =>
  `daemons[${position}].${key}`;

const addressesOf = (daemon: DaemonSettings, position: number): readonly Occurrence[] => [
  { path: daemonSettingPath(position, 'callerAddress'), value: daemon.callerAddress },
  { path: daemonSettingPath(position, 'peerAddress'), value: daemon.peerAddress },
];

const hostOf = (address: string): string => address.slice(0, address.indexOf(':'));

const portOf = (address: string): number => Number(address.slice(address.indexOf(':') + 1));

const hasControlRole = (daemon: DaemonSettings): boolean => daemon.roles.includes(Role.Control);

const checkNames: DeploymentCheck = ({ daemons }) =>
  findDuplicates(
    'daemon name',
    daemons.map(({ name }, position) => ({
      path: daemonSettingPath(position, 'name'),
      value: name,
    })),
  );

const checkAddresses: DeploymentCheck = ({ daemons }) =>
  findDuplicates('address', daemons.flatMap(addressesOf));

const checkPort = ({ path, value }: Occurrence): readonly SettingsFault[] => {
  const port = portOf(value);
  if (port >= 1 && port <= maximumPort) return [];
  const message = `The port is out of range; use a port from 1 to ${maximumPort}.`;
  return [{ kind: SettingsFaultKind.OutOfRange, path, message }];
};

const checkHost = ({ path, value }: Occurrence): readonly SettingsFault[] => {
  const parts = hostOf(value).split('.').map(Number);
  if (parts.every((part) => part <= maximumIpAddressPart)) return [];
  const message = `The IP address is out of range; use four parts from 0 to ${maximumIpAddressPart}.`;
  return [{ kind: SettingsFaultKind.OutOfRange, path, message }];
};

const checkAddressRanges: DeploymentCheck = ({ daemons, metricsAddress }) => {
  const metrics = metricsAddress ? [{ path: 'metricsAddress', value: metricsAddress }] : [];
  const addresses = [...metrics, ...daemons.flatMap(addressesOf)];
  return addresses.flatMap((address) => [...checkHost(address), ...checkPort(address)]);
};

const checkDataFolderPresence: DeploymentCheck = ({ daemons }) =>
  daemons.flatMap((daemon, position) => {
    if (!hasControlRole(daemon) || daemon.dataFolder !== undefined) return [];
    const message = `The role "${Role.Control}" requires a data folder; add one or remove the role.`;
    return [
      { kind: SettingsFaultKind.Missing, path: daemonSettingPath(position, 'dataFolder'), message },
    ];
  });

/**
 * Daemons on the same VM (the same IP address) must not share a folder; those on different VMs may.
 */
const checkDataFolderUniqueness: DeploymentCheck = ({ daemons }) =>
  findDuplicates(
    'data folder on the same VM',
    daemons.flatMap(({ dataFolder, peerAddress }, position) =>
      dataFolder === undefined
        ? []
        : [
            {
              path: daemonSettingPath(position, 'dataFolder'),
              value: `${hostOf(peerAddress)} ${dataFolder}`,
            },
          ],
    ),
  );

const checkControlCount: DeploymentCheck = ({ daemons }) => {
  const count = daemons.filter(hasControlRole).length;
  if (count % 2 === 1) return [];
  const message =
    `${count} daemons have the role "${Role.Control}", but a quorum requires an odd number; ` +
    'assign the role to 1, 3 or 5 daemons.';
  return [{ kind: SettingsFaultKind.Conflict, path: 'daemons', message }];
};

const checkEntryPresence: DeploymentCheck = ({ daemons }) => {
  if (daemons.some((daemon) => daemon.roles.includes(Role.Entry))) return [];
  const message = `No daemon accepts callers; assign the role "${Role.Entry}" to at least one.`;
  return [{ kind: SettingsFaultKind.Conflict, path: 'daemons', message }];
};

const checkZoneRegions: DeploymentCheck = ({ daemons }) =>
  daemons.flatMap(({ zone, region }, position) => {
    const first = daemons.findIndex((daemon) => daemon.zone === zone);
    if (daemons[first]?.region === region) return [];
    const message = `The zone is in a different region at ${daemonSettingPath(first, 'region')}; use the same one.`;
    return [
      { kind: SettingsFaultKind.Conflict, path: daemonSettingPath(position, 'region'), message },
    ];
  });

const checkSuspicion: DeploymentCheck = ({ timing }) => {
  const minimum = minimumHeartbeatsBeforeSuspicion * timing.heartbeatMilliseconds;
  if (timing.suspicionMilliseconds >= minimum) return [];
  const message =
    `The value must be at least ${minimum}, ${minimumHeartbeatsBeforeSuspicion} times ` +
    'timing.heartbeatMilliseconds; increase it or reduce the heartbeat interval.';
  return [{ kind: SettingsFaultKind.Conflict, path: 'timing.suspicionMilliseconds', message }];
};

const deploymentChecks: readonly DeploymentCheck[] = [
  checkNames,
  checkAddresses,
  checkAddressRanges,
  checkDataFolderPresence,
  checkDataFolderUniqueness,
  checkControlCount,
  checkEntryPresence,
  checkZoneRegions,
  checkSuspicion,
];

/** Validates a decoded deployment file; the error lists all faults. */
export const checkDeployment = (document: unknown): Result<Deployment, readonly SettingsFault[]> =>
  checkDocument(deploymentSchema, document, (deployment) =>
    deploymentChecks.flatMap((check) => check(deployment)),
  );
