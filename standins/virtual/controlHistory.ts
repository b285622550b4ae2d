/**
 * Checks the invariants of control during the whole run of a virtual installation: each index has
 * one entry, each daemon applies entries once in ascending order, and at most one daemon can act as
 * leader.
 */
import { RowReader } from '../../src/infrastructure/tables/common/rowReader.js';
import type { ProposalId } from '../../src/service/consensus/common/consensusTables.js';
import { canActAsLeader } from '../../src/service/consensus/common/lease.js';
import { replicaOf, snapshotOf } from '../../src/service/consensus/common/replicaLog.js';
import { isCurrentLeader } from '../../src/service/consensus/common/replicaTables.js';
import type { VirtualContext, VirtualInstallation, VirtualPort } from './virtualInstallation.js';

/** The recorded violations and accepted proposals of a run. */
export interface ControlHistory {
  readonly createPort: (context: VirtualContext) => VirtualPort;
  /** Descriptions of all violated invariants; empty if there are none. */
  readonly violations: () => readonly string[];
  /** Proposals that any daemon has reported as applied. */
  readonly accepted: () => ReadonlySet<ProposalId>;
}

/** Creates the checks; `installation` may return undefined until the installation is created. */
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
        canActAsLeader(
          currentInstallation.daemon(name).core.world,
          currentInstallation.clockOf(name),
        ),
      );
    if (actingLeaders.length > 1)
      violations.push(
        `${actingLeaders.join(' and ')} can act as leader at ${currentInstallation.now()}`,
      );
    const currentLeaders = currentInstallation
      .runningNames()
      .filter((name) =>
        isCurrentLeader(
          replicaOf(currentInstallation.daemon(name).core.world),
          currentInstallation.clockOf(name),
        ),
      );
    if (currentLeaders.length > 1)
      violations.push(
        `${currentLeaders.join(' and ')} are current leaders at ${currentInstallation.now()}`,
      );
  };

  const checkEntry = (daemon: string, index: number, proposal: ProposalId): void => {
    const earlierProposal = proposalByIndex.get(index) ?? proposal;
    proposalByIndex.set(index, proposal);
    if (earlierProposal !== proposal) {
      violations.push(
        `${daemon} applied ${proposal} at ${index}, another applied ${earlierProposal}`,
      );
    }
  };

  const createPort = ({ daemon }: VirtualContext): VirtualPort => {
    const { rememberedOutcomes, proposalOutcomes } = daemon.core.world;
    const appliedChanges = rememberedOutcomes.createChangeReader(RowReader.Port);
    const outcomeChanges = proposalOutcomes.createChangeReader(RowReader.Port);
    let appliedIndex = 0;

    /** Whether the row came with a snapshot that replaced all rows; it must still be the same entry. */
    const isRestored = (index: number): boolean => {
      const { compactedIndex } = replicaOf(daemon.core.world);
      const installedIndex = snapshotOf(daemon.core.world)?.header.index;
      return installedIndex === compactedIndex && index <= compactedIndex;
    };

    const checkApplied = (id: ProposalId): void => {
      const row = rememberedOutcomes.get(id);
      if (row === undefined) return;
      if (row.index <= appliedIndex && !isRestored(row.index))
        violations.push(`${daemon.name} applied entry ${row.index} out of order`);
      appliedIndex = Math.max(appliedIndex, row.index);
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

  return { createPort, violations: () => violations, accepted: () => accepted };
};
