/**
 * A virtual installation with checks of the control invariants and one upstream that executes
 * orders.
 */
import { asBrand } from '../../src/base/common/brand.js';
import { Topic, topicOfCommand, type Command } from '../../src/service/consensus/common/command.js';
import type { ProposalId } from '../../src/service/consensus/common/consensusTables.js';
import { canActAsLeader } from '../../src/service/consensus/common/lease.js';
import type { World } from '../../src/service/world/common/world.js';
import { createControlHistory, type ControlHistory } from './controlHistory.js';
import { createTestDeployment, createTestTree } from './testDeployment.js';
import {
  createVirtualInstallation,
  type VirtualInstallation,
  type VirtualOptions,
} from './virtualInstallation.js';
import { announceOrderUpstream, createVirtualOrders, type VirtualOrders } from './virtualOrders.js';

export interface ControlOptions {
  readonly daemons?: number;
  readonly voters?: number;
  readonly seed?: number;
  readonly checksFencing?: boolean;
  readonly latency?: VirtualOptions['latency'];
}

export interface ControlInstallation extends VirtualInstallation {
  readonly history: ControlHistory;
  readonly orders: VirtualOrders;
  readonly voterNames: readonly string[];
  readonly worldOf: (name: string) => World;
  /** The daemon that can act as leader now. */
  readonly actingLeader: () => string | undefined;
  readonly propose: (daemon: string, id: string, command?: Command) => ProposalId;
  readonly proposeOrder: (daemon: string, order: string, target: number) => ProposalId;
  /** Cuts all links between a daemon and the others; `rejoin` restores them. */
  readonly isolate: (daemon: string) => void;
  readonly rejoin: (daemon: string) => void;
  /** Accepted proposals that a daemon has not applied, of the topics that it follows. */
  readonly missingProposalsAt: (daemon: string) => readonly ProposalId[];
}

const proposalTimeoutMilliseconds = 8_000;
const defaultDaemons = 5;
const defaultVoters = 3;
const noopCommand: Command = { kind: 'leadershipTaken', leader: 'none' };

/** Creates the installation and starts its daemons. */
export const createControlInstallation = (options: ControlOptions = {}): ControlInstallation => {
  const { daemons = defaultDaemons, voters = defaultVoters, seed = 1 } = options;
  let createdInstallation: VirtualInstallation | undefined;
  const history = createControlHistory(() => createdInstallation);
  const orders = createVirtualOrders(
    () => createdInstallation!.schedule,
    options.checksFencing ?? true,
  );
  const deployment = createTestDeployment(daemons, voters);
  const installation = createVirtualInstallation({
    deployment,
    tree: createTestTree(),
    seed,
    ...(options.latency === undefined ? {} : { latency: options.latency }),
    ports: [announceOrderUpstream, orders.createPort, history.createPort],
  });
  createdInstallation = installation;
  const daemonNames = deployment.daemons.map(({ name }) => name);
  const worldOf = (name: string): World => installation.daemon(name).core.world;
  const otherDaemons = (name: string): string[] => daemonNames.filter((other) => other !== name);

  const voterNames = daemonNames.slice(0, voters);

  const isControlProposal = (proposal: ProposalId): boolean =>
    installation
      .runningNames()
      .filter((name) => voterNames.includes(name))
      .flatMap((name) => worldOf(name).logEntries.where('proposal', proposal))
      .some(({ command }) => topicOfCommand[command.kind] === Topic.Control);

  const propose = (daemon: string, id: string, command: Command = noopCommand): ProposalId => {
    const proposal = asBrand<ProposalId>(id);
    const proposalDeadline = installation.now() + proposalTimeoutMilliseconds;
    worldOf(daemon).proposals.append({ id: proposal, command, proposalDeadline });
    installation.wake(daemon);
    return proposal;
  };

  return {
    ...installation,
    history,
    orders,
    voterNames,
    worldOf,
    actingLeader: () =>
      installation.runningNames().find((name) => canActAsLeader(worldOf(name), installation.now())),
    propose,
    proposeOrder: (daemon, order, target) =>
      propose(daemon, `intend-${order}`, {
        kind: 'orderIntended',
        order,
        upstream: 'engine',
        action: 'loadWeights',
        target,
      }),
    isolate: (daemon) => otherDaemons(daemon).forEach((other) => installation.cut(daemon, other)),
    rejoin: (daemon) => otherDaemons(daemon).forEach((other) => installation.heal(daemon, other)),
    missingProposalsAt: (daemon) =>
      [...history.accepted()]
        .filter((id) => voterNames.includes(daemon) || !isControlProposal(id))
        .filter((id) => !worldOf(daemon).rememberedOutcomes.has(id)),
  };
};
