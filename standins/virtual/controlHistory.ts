/**
 * Watches a virtual installation over its whole run for what must always hold of control: one entry at
 * each index, applied once on each daemon in rising order, and never two daemons that may act as leader.
 */
import { RowReader } from '../../src/infrastructure/tables/common/rowReader.js';
import type { ProposalId } from '../../src/service/consensus/common/consensusTables.js';
import { canActAsLeader } from '../../src/service/consensus/common/lease.js';
import { replicaOf } from '../../src/service/consensus/common/replicaLog.js';
import { isCurrentLeader } from '../../src/service/consensus/common/replicaTables.js';
import type { VirtualContext, VirtualInstallation, VirtualPort } from './virtualInstallation.js';

/** What was seen. */
export interface ControlHistory {
  readonly port: (context: VirtualContext) => VirtualPort;
  /** What did not hold, each in words; empty where all held. */
  readonly violations: () => readonly string[];
  /** Proposals that any daemon was told are applied. */
  readonly accepted: () => ReadonlySet<ProposalId>;
}

/** Creates the watch; `installation` is asked for after it has been created. */
export const createControlHistory = (
  installation: () => VirtualInstallation | undefined,
): ControlHistory => {
  const violations: string[] = [];
  const proposalByIndex = new Map<number, ProposalId>();
  const accepted = new Set<ProposalId>();

  const checkLeaders = (): void => {
    const currentInstallation = installation();
    if (currentInstallation === undefined) return;
    const actingLeaders = currentInstallation
      .runningNames()
      .filter((name) =>
        canActAsLeader(currentInstallation.daemon(name).core.world, currentInstallation.now()),
      );
    if (actingLeaders.length > 1)
      violations.push(`${actingLeaders.join(' and ')} may act at ${currentInstallation.now()}`);
    const currentLeaders = currentInstallation
      .runningNames()
      .filter((name) =>
        isCurrentLeader(
          replicaOf(currentInstallation.daemon(name).core.world),
          currentInstallation.now(),
        ),
      );
    if (currentLeaders.length > 1)
      violations.push(`${currentLeaders.join(' and ')} lead at ${currentInstallation.now()}`);
  };

  const checkEntry = (daemon: string, index: number, proposal: ProposalId): void => {
    const earlierProposal = proposalByIndex.get(index) ?? proposal;
    proposalByIndex.set(index, proposal);
    if (earlierProposal !== proposal) {
      violations.push(`${daemon} applied ${proposal} at ${index}, another ${earlierProposal}`);
    }
  };

  const createPort = ({ daemon }: VirtualContext): VirtualPort => {
    const { rememberedOutcomes, proposalOutcomes } = daemon.core.world;
    const appliedChanges = rememberedOutcomes.createChangeReader(RowReader.Port);
    const outcomeChanges = proposalOutcomes.createChangeReader(RowReader.Port);
    let appliedIndex = 0;

    const checkApplied = (id: ProposalId): void => {
      const row = rememberedOutcomes.get(id);
      if (row === undefined) return;
      if (row.index <= appliedIndex) violations.push(`${daemon.name} went back to ${row.index}`);
      appliedIndex = row.index;
      checkEntry(daemon.name, row.index, id);
    };

    return {
      drain: () => {
        appliedChanges.take().forEach(checkApplied);
        outcomeChanges
          .take()
          .filter((id) => proposalOutcomes.get(id)?.outcome.kind === 'applied')
          .forEach((id) => accepted.add(id));
        checkLeaders();
      },
    };
  };

  return { port: createPort, violations: () => violations, accepted: () => accepted };
};
