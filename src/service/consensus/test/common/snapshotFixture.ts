/**
 * An installation of three stores, one that is not started, and an entry, whose changes are so large
 * that a few of them outweigh a snapshot.
 */
import { asBrand } from '../../../../base/common/brand.js';
import { encodeFrame } from '../../../../infrastructure/wire/node/frames.js';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { createControlHistory } from '../../../../../standins/virtual/controlHistory.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import type { VirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import { declarationId } from '../../../declaration/common/declarationTables.js';
import type { Message } from '../../../messages/common/message.js';
import type { ProposalId } from '../../common/consensusTables.js';
import { replicaOf } from '../../common/replicaLog.js';
import { isCurrentLeader } from '../../common/replicaTables.js';

export const voters = ['d1', 'd2', 'd3'];
export const spare = 'd4';
export const entry = 'd5';
const documentBytes = 300_000;
export const changeMilliseconds = 100;
const proposalMilliseconds = 5_000;
export const absenceMilliseconds = 1_000;
/** Half of `catchUpS` of the users' installations. */
export const joinMilliseconds = 2_300;
/** `recoveryS` of the users' installations. */
export const recoveryMilliseconds = 12_000;
const latencyMilliseconds = 12;
/** Twice the entries from which a log is compacted, and the state, which is one declaration. */
export const maximumLogBytes = 2 * (2 * 1024 * 1024 + documentBytes) + documentBytes;

export interface SnapshotFixture {
  readonly installation: VirtualInstallation;
  readonly violations: () => readonly string[];
  /** Proposals that any daemon has reported as applied. */
  readonly accepted: () => ReadonlySet<ProposalId>;
  /** Proposes a number of changes at a daemon, one after the other. */
  readonly change: (daemon: string, count: number) => void;
  /** The number of the last change. */
  readonly lastVersion: () => number;
  /** Returns the encoded bytes that were sent to a daemon since the last call for it. */
  readonly takeBytesTo: (daemon: string) => number;
}

export interface SnapshotFixtureOptions {
  readonly seed: number;
  /** Bytes per second of each link; undefined for no limit. */
  readonly bandwidth?: number;
  readonly isLost?: (from: string, to: string, message: Message) => boolean;
  readonly onDidSend?: (installation: VirtualInstallation, from: string, message: Message) => void;
}

const frameBytesOf = (message: Message): number =>
  encodeFrame(message).match(
    (frame) => frame.length,
    () => 0,
  );

export const openSnapshotFixture = ({
  seed,
  bandwidth,
  isLost,
  onDidSend,
}: SnapshotFixtureOptions): SnapshotFixture => {
  let created: VirtualInstallation | undefined;
  let version = 0;
  const sentBytes = new Map<string, number>();
  const history = createControlHistory(() => created);
  const installation = createAnnouncedInstallation({
    daemonCount: 5,
    controlCount: 4,
    voterCount: 3,
    seed,
    initiallyStopped: [spare],
    voters: (name, incarnation) => (voters.includes(name) && incarnation === 1 ? voters : []),
    latency: () => latencyMilliseconds,
    ports: [history.createPort],
    onDidSendMessage: (from, to, message) => {
      sentBytes.set(to, (sentBytes.get(to) ?? 0) + frameBytesOf(message));
      if (created !== undefined) onDidSend?.(created, from, message);
    },
    ...(isLost === undefined ? {} : { isLost }),
    ...(bandwidth === undefined ? {} : { bandwidth }),
  });
  created = installation;
  installation.runFor(recoveryMilliseconds);
  return {
    installation,
    violations: history.violations,
    accepted: history.accepted,
    change: (daemon, count) => {
      for (let change = 0; change < count; change += 1) {
        version += 1;
        installation.daemon(daemon).core.world.proposals.append({
          id: asBrand(`declare-${version}`),
          command: {
            ...testDeclarationCommand(version),
            document: `${version} `.padEnd(documentBytes, 'x'),
          },
          proposalDeadline: installation.now() + proposalMilliseconds,
        });
        installation.wake(daemon);
        installation.runFor(changeMilliseconds);
      }
    },
    lastVersion: () => version,
    takeBytesTo: (daemon) => {
      const bytes = sentBytes.get(daemon) ?? 0;
      sentBytes.set(daemon, 0);
      return bytes;
    },
  };
};

export const worldOf = ({ installation }: SnapshotFixture, name: string) =>
  installation.daemon(name).core.world;

export const leaderOf = (fixture: SnapshotFixture): string | undefined =>
  fixture.installation
    .runningNames()
    .find((name) => isCurrentLeader(replicaOf(worldOf(fixture, name)), fixture.installation.now()));

export const followerOf = (fixture: SnapshotFixture): string =>
  voters.find((name) => name !== leaderOf(fixture))!;

export const versionAt = (fixture: SnapshotFixture, name: string): number =>
  worldOf(fixture, name).declarations.get(declarationId)?.version ?? 0;

export const loseDisk = ({ installation }: SnapshotFixture, name: string): void => {
  installation.stop(name);
  installation.disk(name).clear();
  installation.runFor(absenceMilliseconds);
  installation.start(name);
};

/** Returns the time after which a store has joined; infinity if it has not in `recoveryS`. */
export const measureJoining = (fixture: SnapshotFixture, name: string): number => {
  const { installation } = fixture;
  const start = installation.now();
  while (installation.now() < start + recoveryMilliseconds) {
    if (replicaOf(worldOf(fixture, name)).hasJoined) return installation.now() - start;
    installation.runFor(10);
  }
  return Number.POSITIVE_INFINITY;
};
