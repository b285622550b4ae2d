/**
 * Checks during the whole run of a virtual installation that the fencing tokens of the daemons that
 * may act as leader never fall and are never shared by two processes, and that a leader changes the
 * voters only once an entry of its own term is committed.
 */
import { canActAsLeader, leadershipOf } from '../../src/service/consensus/common/lease.js';
import { replicaOf } from '../../src/service/consensus/common/replicaLog.js';
import { ReplicaState } from '../../src/service/consensus/common/replicaTables.js';
import type { VirtualContext, VirtualInstallation, VirtualPort } from './virtualInstallation.js';

/** The recorded violations of a run. */
export interface LeadershipHistory {
  readonly createPort: (context: VirtualContext) => VirtualPort;
  /** Descriptions of all violations; empty if there are none. */
  readonly violations: () => readonly string[];
}

/** Creates the checks; `installation` may return undefined until the installation is created. */
export const createLeadershipHistory = (
  installation: () => VirtualInstallation | undefined,
): LeadershipHistory => {
  const violations: string[] = [];
  let highest: { readonly fencing: number; readonly process: string } = { fencing: 0, process: '' };

  const checkDaemon = (current: VirtualInstallation, name: string): void => {
    const { core, incarnation } = current.daemon(name);
    if (!canActAsLeader(core.world, current.clockOf(name))) return;
    const { fencing } = leadershipOf(core.world);
    const process = `${name}/${incarnation}`;
    const isShared = fencing === highest.fencing && process !== highest.process;
    if (fencing < highest.fencing || isShared)
      violations.push(
        `${process} acts with ${fencing} after ${highest.process} with ${highest.fencing}`,
      );
    if (fencing > highest.fencing) highest = { fencing, process };
  };

  const createPort = ({ daemon }: VirtualContext): VirtualPort => {
    const { world } = daemon.core;
    let checkedVotersIndex = 0;
    /** A leader changes the voters only once an entry of its own term is committed. */
    const checkVoters = (): void => {
      const { votersIndex, leadershipIndex, commitIndex, state } = replicaOf(world);
      if (votersIndex === checkedVotersIndex) return;
      checkedVotersIndex = votersIndex;
      if (
        state === ReplicaState.Leader &&
        votersIndex > leadershipIndex &&
        commitIndex < leadershipIndex
      )
        violations.push(`${daemon.name} changes voters at ${votersIndex} before its first commit`);
    };
    return {
      drain: () => {
        checkVoters();
        const current = installation();
        current?.runningNames().forEach((name) => checkDaemon(current, name));
      },
    };
  };

  return { createPort, violations: () => violations };
};
