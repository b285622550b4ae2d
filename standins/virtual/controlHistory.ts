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
    const running = installation();
    if (running === undefined) return;
    const acting = running
      .runningNames()
      .filter((name) => canActAsLeader(running.daemon(name).core.world, running.now()));
    if (acting.length > 1) violations.push(`${acting.join(' and ')} may act at ${running.now()}`);
    const leading = running
      .runningNames()
      .filter((name) => isCurrentLeader(replicaOf(running.daemon(name).core.world), running.now()));
    if (leading.length > 1) violations.push(`${leading.join(' and ')} lead at ${running.now()}`);
  };

  const checkEntry = (daemon: string, index: number, proposal: ProposalId): void => {
    const before = proposalByIndex.get(index) ?? proposal;
    proposalByIndex.set(index, proposal);
    if (before !== proposal) {
      violations.push(`${daemon} applied ${proposal} at ${index}, another ${before}`);
    }
  };

  const createPort = ({ daemon }: VirtualContext): VirtualPort => {
    const { rememberedOutcomes, proposalOutcomes } = daemon.core.world;
    const applied = rememberedOutcomes.createChangeReader(RowReader.Port);
    const outcomes = proposalOutcomes.createChangeReader(RowReader.Port);
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
        applied.take().forEach(checkApplied);
        outcomes
          .take()
          .filter((id) => proposalOutcomes.get(id)?.outcome.kind === 'applied')
          .forEach((id) => accepted.add(id));
        checkLeaders();
      },
    };
  };

  return { port: createPort, violations: () => violations, accepted: () => accepted };
};
