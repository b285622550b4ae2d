/**
 * The world of one daemon: all its tables, and what systems need besides rows.
 */
import type { WallClock } from '../../../base/common/time.js';
import type { Random } from '../../../base/common/random.js';
import type { Metrics } from '../../../infrastructure/metrics/common/metrics.js';
import {
  Role,
  type DaemonSettings,
  type Deployment,
} from '../../../infrastructure/settings/common/deployment.js';
import {
  defaultFleetSettings,
  type FleetSettings,
} from '../../../infrastructure/settings/common/fleetSettings.js';
import type { AnyTable } from '../../../infrastructure/tables/common/table.js';
import { createCapacityTables } from '../../capacity/common/capacityTables.js';
import { createDemandTables } from '../../admission/common/demandTables.js';
import { createConfigurationTables } from '../../configuration/common/configurationTables.js';
import { createFreshnessTables } from '../../configuration/common/freshnessTables.js';
import { createServedTables, type ServedRow } from '../../configuration/common/servedTables.js';
import { createSettingsTables } from '../../configuration/common/settingsTables.js';
import type { Tree } from '../../configuration/common/tree.js';
import { maximumVoters } from '../../consensus/common/consensusTiming.js';
import { createConsensusTables } from '../../consensus/common/consensusTables.js';
import { createDeclarationTables } from '../../declaration/common/declarationTables.js';
import { createForwardingTables } from '../../forwarding/common/forwardingTables.js';
import { createPaceTables } from '../../jobs/common/enginePace.js';
import { createJobReadTables } from '../../jobs/common/jobReads.js';
import { createJobTables } from '../../jobs/common/jobTables.js';
import { createMeteringTables } from '../../metering/common/meteringTables.js';
import { createRegistryTables } from '../../registry/common/registryTables.js';
import { createVersionTables } from '../../weights/common/versionTables.js';
import { createRetryTables } from '../../dispatch/common/retryTables.js';
import { createReplicaTables } from '../../consensus/common/replicaTables.js';
import { createRetirementTables } from '../../consensus/common/retirementTables.js';
import { createEventTables } from '../../events/common/eventKind.js';
import { createMembershipTables } from '../../membership/common/membershipTables.js';
import { createMessageTables } from '../../messages/common/messageTables.js';
import { createOrderTables } from '../../orders/common/orderTables.js';
import { createRolloutTables } from '../../rollout/common/rolloutTables.js';
import { createTrafficTables } from '../../traffic/common/trafficTables.js';
import { createUsageTables } from '../../usage/common/usageTables.js';
import { createIdentifiers, type Identifiers } from './identifiers.js';

const createTables = () => ({
  ...createConfigurationTables(),
  ...createConsensusTables(),
  ...createReplicaTables(),
  ...createRetirementTables(),
  ...createDemandTables(),
  ...createRetryTables(),
  ...createEventTables(),
  ...createFreshnessTables(),
  ...createMembershipTables(),
  ...createMessageTables(),
  ...createOrderTables(),
  ...createRolloutTables(),
  ...createServedTables(),
  ...createSettingsTables(),
  ...createTrafficTables(),
  ...createUsageTables(),
  ...createDeclarationTables(),
  ...createRegistryTables(),
  ...createForwardingTables(),
  ...createJobTables(),
  ...createPaceTables(),
  ...createJobReadTables(),
  ...createVersionTables(),
  ...createMeteringTables(),
  ...createCapacityTables(),
});
export type Tables = ReturnType<typeof createTables>;

/** What a world is made from; the same options and the same inputs give the same rows. */
export interface WorldOptions {
  readonly deployment: Deployment;
  readonly self: DaemonSettings;
  readonly tree: Tree;
  /** The settings that this daemon served last before it was started, where it kept them. */
  readonly restored?: Omit<ServedRow, 'id'> | undefined;
  /** A number that rises with every start of this daemon. */
  readonly incarnation: number;
  readonly random: Random;
  readonly metrics: Metrics;
  /** Names of the voters of the log, where they are not the control daemons of the settings. */
  readonly voters?: readonly string[] | undefined;
  readonly fleet?: FleetSettings | undefined;
  /** For stamps that daemons share, such as windows of usage; deadlines never rest on it. */
  readonly wallClock?: WallClock;
}

/** All tables of one daemon and the resources of its systems. */
export interface World extends Tables {
  readonly deployment: Deployment;
  readonly self: DaemonSettings;
  readonly incarnation: number;
  readonly identifiers: Identifiers;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly fleet: FleetSettings;
  /** Names of the voters with which the log began. */
  readonly initialVoters: readonly string[];
  /** Milliseconds since the Unix epoch by this VM's wall clock. */
  readonly wallNow: WallClock;
  /** Whether the installation has control daemons; without them the settings file is in force for ever. */
  readonly hasControlDaemons: boolean;
  /** The settings tree in force. */
  readonly tree: () => Tree;
  readonly setTree: (tree: Tree) => void;
  /** Whether this daemon is leaving: it is not advised any more, and still takes requests. */
  readonly isLeaving: () => boolean;
  readonly setLeaving: () => void;
  /** Whether the advice that was given before has run out, so that new requests are refused. */
  readonly isRefusingNewRequests: () => boolean;
  readonly setRefusingNewRequests: () => void;
  readonly allTables: readonly AnyTable[];
}

/** The voters of an installation that lists its daemons; its other control daemons follow and relay. */
const listedVoters = ({ daemons }: Deployment): string[] =>
  daemons
    .filter(({ roles }) => roles.includes(Role.Control))
    .slice(0, maximumVoters)
    .map(({ name }) => name);

/** Creates a world whose tables are empty. */
export const createWorld = (options: WorldOptions): World => {
  const tables = createTables();
  let { tree } = options;
  let isLeavingNow = false;
  let isRefusingNow = false;
  return {
    ...tables,
    deployment: options.deployment,
    self: options.self,
    incarnation: options.incarnation,
    identifiers: createIdentifiers(options.self.name, options.incarnation),
    random: options.random,
    metrics: options.metrics,
    fleet: options.fleet ?? defaultFleetSettings,
    initialVoters: options.voters ?? listedVoters(options.deployment),
    wallNow: options.wallClock ?? (() => 0),
    hasControlDaemons: options.deployment.daemons.some(({ roles }) => roles.includes(Role.Control)),
    tree: () => tree,
    setTree: (nextTree) => {
      tree = nextTree;
    },
    isLeaving: () => isLeavingNow,
    setLeaving: () => {
      isLeavingNow = true;
    },
    isRefusingNewRequests: () => isRefusingNow,
    setRefusingNewRequests: () => {
      isRefusingNow = true;
    },
    allTables: Object.values(tables),
  };
};
