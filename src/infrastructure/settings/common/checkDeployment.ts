/**
 * Checks a deployment file: its schema, then what must hold between its values. Each cross check is one
 * entry of a list that runs over the daemons.
 */
import type { Result } from 'neverthrow';
import { checkDocument } from './checkDocument.js';
import { deploymentSchema, Role, type DaemonSettings, type Deployment } from './deployment.js';
import { SettingsFaultKind, type SettingsFault } from './settingsFault.js';
import { findDuplicates, type Occurrence } from './uniqueness.js';

type DeploymentCheck = (deployment: Deployment) => readonly SettingsFault[];

/** Fewer heartbeats than this in the time of suspicion would suspect a daemon for one lost message. */
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
  const message = `The port is out of range; give one from 1 to ${maximumPort}.`;
  return [{ kind: SettingsFaultKind.OutOfRange, path, message }];
};

const checkHost = ({ path, value }: Occurrence): readonly SettingsFault[] => {
  const parts = hostOf(value).split('.').map(Number);
  if (parts.every((part) => part <= maximumIpAddressPart)) return [];
  const message = `The IP number is out of range; give four parts up to ${maximumIpAddressPart}.`;
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
    const message = `The role "${Role.Control}" needs a folder on a disk; add it or drop the role.`;
    return [
      { kind: SettingsFaultKind.Missing, path: daemonSettingPath(position, 'dataFolder'), message },
    ];
  });

/** Daemons on one VM, known by its IP number, may not write to one folder; on two VMs they may. */
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
    `${count} daemons have the role "${Role.Control}", and an odd number is needed for a quorum; ` +
    'give the role to 1, 3 or 5 of them.';
  return [{ kind: SettingsFaultKind.Conflict, path: 'daemons', message }];
};

const checkEntryPresence: DeploymentCheck = ({ daemons }) => {
  if (daemons.some((daemon) => daemon.roles.includes(Role.Entry))) return [];
  const message = `No daemon meets callers; give the role "${Role.Entry}" to one at least.`;
  return [{ kind: SettingsFaultKind.Conflict, path: 'daemons', message }];
};

const checkZoneRegions: DeploymentCheck = ({ daemons }) =>
  daemons.flatMap(({ zone, region }, position) => {
    const first = daemons.findIndex((daemon) => daemon.zone === zone);
    if (daemons[first]?.region === region) return [];
    const message = `The zone lies in another region at ${daemonSettingPath(first, 'region')}; make them agree.`;
    return [
      { kind: SettingsFaultKind.Conflict, path: daemonSettingPath(position, 'region'), message },
    ];
  });

const checkSuspicion: DeploymentCheck = ({ timing }) => {
  const minimum = minimumHeartbeatsBeforeSuspicion * timing.heartbeatMilliseconds;
  if (timing.suspicionMilliseconds >= minimum) return [];
  const message =
    `Give at least ${minimum}, which is ${minimumHeartbeatsBeforeSuspicion} times ` +
    'timing.heartbeatMilliseconds, or shorten the heartbeat.';
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

/** Checks a decoded deployment file whole; the error lists every fault that was found. */
export const checkDeployment = (document: unknown): Result<Deployment, readonly SettingsFault[]> =>
  checkDocument(deploymentSchema, document, (deployment) =>
    deploymentChecks.flatMap((check) => check(deployment)),
  );
