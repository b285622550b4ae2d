/**
 * An installation of three voters and an entry on virtual time, in which stores lose their disks and
 * are kept from joining at a chosen index.
 */
import { asBrand } from '../../../../base/common/brand.js';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import type {
  VirtualEvent,
  VirtualInstallation,
} from '../../../../../standins/virtual/virtualInstallation.js';
import { replicaOf } from '../../../consensus/common/replicaLog.js';
import type { EventKind } from '../../../events/common/eventKind.js';
import type { Message } from '../../../messages/common/message.js';
import type { World } from '../../../world/common/world.js';
import { reportIntervalMilliseconds } from '../../common/absenceSystem.js';

/** The control daemons. */
export const voters = ['d1', 'd2', 'd3'];
/** A daemon without a disk. */
export const entry = 'd4';
/** Time for elections and changes of voters. */
export const settleMilliseconds = 6_000;
const changeMilliseconds = 300;

/** Changes that fit no single message, so that a store can hold a part of them. */
const documentBytes = 200_000;
const changeCount = 8;

/** Bytes of a line before its event: level, time, process and host name, as in the incident. */
const linePrefixBytes = 75;
const collectedBytes = 200;

/** An installation in which a store can be kept from joining. */
export interface Fixture {
  readonly installation: VirtualInstallation;
  /** Loses the entries after an index on their way to a daemon, and parts of snapshots. */
  readonly holdBack: (name: string, afterIndex: number) => void;
  readonly letThrough: (name: string) => void;
}

const sentIndexOf = (message: Message): number => {
  if (message.kind === 'snapshotSent') return Number.POSITIVE_INFINITY;
  const isSending = message.kind === 'entriesAppended' || message.kind === 'entriesFollowed';
  return isSending ? (message.entries.at(-1)?.index ?? 0) : 0;
};

/** Opens an installation of three voters and an entry, with a leader. */
export const openFixture = (): Fixture => {
  const held = new Map<string, number>();
  const installation = createAnnouncedInstallation({
    daemonCount: voters.length + 1,
    controlCount: voters.length,
    voterCount: voters.length,
    seed: 1,
    voters: (_name, incarnation) => (incarnation === 1 ? voters : []),
    isLost: (_from, to, message) =>
      sentIndexOf(message) > (held.get(to) ?? Number.POSITIVE_INFINITY),
  });
  installation.runFor(settleMilliseconds);
  return {
    installation,
    holdBack: (name, afterIndex) => held.set(name, afterIndex),
    letThrough: (name) => held.delete(name),
  };
};

/** Returns the world of a running daemon. */
export const worldOf = (installation: VirtualInstallation, name: string): World =>
  installation.daemon(name).core.world;

/** Sends desired states one by one. */
export const declareAll = (installation: VirtualInstallation, count = changeCount): void => {
  for (let version = 1; version <= count; version += 1) {
    worldOf(installation, 'd1').proposals.append({
      id: asBrand(`declare-${version}`),
      command: {
        ...testDeclarationCommand(version),
        document: `${version} `.padEnd(documentBytes, 'x'),
      },
      proposalDeadline: installation.now() + settleMilliseconds,
    });
    installation.wake('d1');
    installation.runFor(changeMilliseconds);
  }
};

/** Restarts a daemon with an empty disk. */
export const loseDisk = (installation: VirtualInstallation, name: string): void => {
  installation.stop(name);
  installation.disk(name).clear();
  installation.start(name);
};

/** Returns the leader that the entry knows. */
export const leaderOf = (installation: VirtualInstallation): string =>
  replicaOf(worldOf(installation, entry)).leader!;

/** Returns the voters that do not lead. */
export const followersOf = (installation: VirtualInstallation): string[] =>
  voters.filter((name) => name !== leaderOf(installation));

/** Returns the events of a kind that a daemon has recorded. */
export const eventsOf = (
  installation: VirtualInstallation,
  process: string,
  kind: EventKind,
  since = 0,
): VirtualEvent[] =>
  installation
    .events()
    .filter((event) => event.process === process && event.kind === kind && event.at >= since);

/** Returns what a collector that cuts lines keeps of the event. */
export const collectedTextOf = ({ kind, subject }: VirtualEvent): string =>
  JSON.stringify({ event: kind, ...subject }).slice(0, collectedBytes - linePrefixBytes);

/** Whether no two of the events are closer than reports may be. */
export const hasBoundedRate = (events: readonly VirtualEvent[]): boolean =>
  events
    .slice(1)
    .every(({ at }, position) => at - events[position]!.at >= reportIntervalMilliseconds);
