/**
 * What tests ask of a virtual installation: the world of a daemon, who leads, and which declaration is
 * in force where.
 */
import { declarationId } from '../../src/service/declaration/common/declarationTables.js';
import { replicaOf } from '../../src/service/consensus/common/replicaLog.js';
import { isCurrentLeader } from '../../src/service/consensus/common/replicaTables.js';
import type { World } from '../../src/service/world/common/world.js';
import type { VirtualInstallation } from './virtualInstallation.js';

/** Returns the world of a running daemon. */
export const worldOf = (installation: VirtualInstallation, name: string): World =>
  installation.daemon(name).core.world;

/** Returns the daemon that leads with a valid lease; undefined if there is none. */
export const leaderOf = (installation: VirtualInstallation): string | undefined =>
  installation
    .runningNames()
    .find((name) =>
      isCurrentLeader(replicaOf(worldOf(installation, name)), installation.clockOf(name)),
    );

/** Returns the version of the declaration that a daemon holds; 0 if it holds none. */
export const versionAt = (installation: VirtualInstallation, name: string): number =>
  worldOf(installation, name).declarations.get(declarationId)?.version ?? 0;
