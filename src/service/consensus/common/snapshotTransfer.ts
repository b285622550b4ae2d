/**
 * Transfer of snapshots to daemons that lack entries which the sender has removed. The sender offers
 * its snapshot; the receiver requests the parts, a few at a time, and installs the snapshot once it
 * has all of them. So the sender keeps no state for a receiver, the receiver decides the pace, and
 * renewals and entries never wait for more than a few parts. A snapshot holds only committed state,
 * so it may come from any control daemon.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { HandlerTable, UnionMember } from '../../../base/common/handlers.js';
import {
  deadlineAfter,
  never,
  type Instant,
  type Milliseconds,
} from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { putSnapshot } from './compaction.js';
import type { ConsensusMessage } from './consensusMessages.js';
import { adoptHigherTerm, isElectionParticipant } from './election.js';
import {
  changeReplica,
  hasFullLog,
  removeEntries,
  replicaOf,
  snapshotOf,
  termAt,
  truncateLog,
} from './replicaLog.js';
import { arePartsReadable, restoreReplicatedState, selectParts } from './replicatedState.js';
import { ReplicaState } from './replicaTables.js';
import {
  incomingSnapshotId,
  type IncomingSnapshotRow,
  type SnapshotRow,
} from './snapshotTables.js';
import { topicsOf, type Snapshot, type SnapshotHeader } from './snapshot.js';
import { requestStateReplacement } from './stateReplacement.js';
import { applyLoggedVoters, becomeLearner } from './voters.js';

/** Parts that are sent for one request: as much as a follower may leave unacknowledged. */
const partsPerRequest = 4;

/**
 * Time without a part after which the receiver requests it again, and the shortest one after which it
 * takes the snapshot of another sender. Four parts of 256 KiB take as long at 4 Mbit/s; larger parts
 * are given more time with each request.
 */
const partTimeoutMilliseconds: Milliseconds = 2_000;

/** Time for which a sender keeps a snapshot after a request: several of the shortest timeouts. */
const transferTimeoutMilliseconds: Milliseconds = 10_000;

/** Time for which a snapshot that could not be read is not received again from anyone. */
const refusalMilliseconds: Milliseconds = 30_000;

/** Whether a replica in a state installs snapshots. */
const isReceivingState: Readonly<Record<ReplicaState, boolean>> = {
  recovering: false,
  learner: true,
  follower: true,
  preCandidate: true,
  candidate: true,
  leader: false,
  failed: false,
};

const incomingOf = (world: World): IncomingSnapshotRow | undefined =>
  world.incomingSnapshots.get(incomingSnapshotId);

/** Offers the snapshot of this daemon to one that lacks entries which it stands for. */
export const offerSnapshot = (world: World, to: DaemonId): void => {
  const snapshot = snapshotOf(world);
  if (snapshot === undefined) return;
  const { header } = snapshot;
  world.outgoingMessages.append({ to, message: { kind: 'snapshotOffered', index: header.index } });
};

/** Returns when a part is requested again: with each attempt, after twice the time that has passed. */
const nextRequestDeadline = (progressAt: Instant, now: Instant): Instant =>
  deadlineAfter(now, Math.max(partTimeoutMilliseconds, 2 * (now - progressAt)));

const requestParts = (world: World, incoming: IncomingSnapshotRow, now: Instant): void => {
  const requestDeadline = nextRequestDeadline(incoming.progressAt, now);
  world.incomingSnapshots.put({ ...incoming, requestDeadline });
  world.outgoingMessages.append({
    to: incoming.from,
    message: {
      kind: 'snapshotRequested',
      index: incoming.index,
      part: incoming.parts.length,
      isRelay: hasFullLog(world),
    },
  });
};

const startReceiving = (world: World, from: DaemonId, index: number, now: Instant): void =>
  requestParts(
    world,
    {
      id: incomingSnapshotId,
      from,
      index,
      parts: [],
      progressAt: now,
      requestDeadline: now,
      replacementDeadline: deadlineAfter(now, partTimeoutMilliseconds),
    },
    now,
  );

const sendParts = (
  world: World,
  { header, parts }: SnapshotRow,
  { id, isRelay, first }: { id: DaemonId; isRelay: boolean; first: number },
): void => {
  const selected = selectParts(parts, topicsOf(isRelay));
  const { term } = replicaOf(world);
  // A snapshot without rows is sent as one part without rows.
  const count = Math.max(1, selected.length);
  const end = Math.min(count, first + partsPerRequest);
  for (let part = first; part < end; part += 1) {
    world.outgoingMessages.append({
      to: id,
      message: { kind: 'snapshotSent', term, header, part, count, content: selected[part] ?? null },
    });
  }
};

/** Keeps the entries after the snapshot only if they follow from the same entry. */
const replaceLog = (world: World, { index, term }: SnapshotHeader): void => {
  const isContinued = termAt(world, index) === term;
  if (!isContinued) truncateLog(world, 0);
  removeEntries(world, index);
  const { lastIndex, lastTerm } = replicaOf(world);
  changeReplica(world, {
    commitIndex: index,
    deliveredIndex: index,
    bytesSinceSnapshot: 0,
    ...(isContinued ? { lastIndex, lastTerm } : { lastIndex: index, lastTerm: term }),
  });
};

const installSnapshot = (world: World, snapshot: Snapshot, now: Instant): void => {
  const { header, parts } = snapshot;
  // Entries that were delivered but not applied are contained in the snapshot.
  world.committedEntries.takeAll();
  replaceLog(world, header);
  restoreReplicatedState(world, parts, topicsOf(hasFullLog(world)), now);
  if (hasFullLog(world)) {
    putSnapshot(world, snapshot, now);
    applyLoggedVoters(world);
    const isVoter = world.members.has(asBrand<DaemonId>(world.self.name));
    if (isElectionParticipant(world) && !isVoter) becomeLearner(world, now);
  }
  changeReplica(world, { followDeadline: Math.min(replicaOf(world).followDeadline, now) });
  if (isElectionParticipant(world)) requestStateReplacement(world, false);
};

/**
 * Adopts the term in which the entries were committed: a leader of an earlier one may lack them, and
 * must not count this daemon.
 */
const adoptTermOfSender = (world: World, term: number, now: Instant): void => {
  if (isElectionParticipant(world)) adoptHigherTerm(world, term, now);
  else if (term > replicaOf(world).term) changeReplica(world, { term, votedFor: null });
};

type SentSnapshot = Pick<UnionMember<ConsensusMessage, 'snapshotSent'>, 'header' | 'term'>;

const finishReceiving = (world: World, { header, term }: SentSnapshot, now: Instant): void => {
  const incoming = incomingOf(world)!;
  const { from, parts } = incoming;
  world.incomingSnapshots.remove(incomingSnapshotId);
  const { commitIndex, state } = replicaOf(world);
  if (header.index <= commitIndex || !isReceivingState[state]) return;
  const isReadable = arePartsReadable(parts);
  const subject = { from, index: header.index, term: header.term, parts: parts.length };
  if (!isReadable) {
    world.incomingSnapshots.put({
      ...incoming,
      parts: [],
      requestDeadline: never,
      replacementDeadline: deadlineAfter(now, refusalMilliseconds),
    });
    world.metrics.count('consensus.snapshotsRefused');
    world.events.append({ kind: EventKind.SnapshotRefused, subject });
    return;
  }
  adoptTermOfSender(world, term, now);
  installSnapshot(world, { header, parts }, now);
  world.metrics.count('consensus.snapshotsInstalled');
  world.events.append({ kind: EventKind.SnapshotInstalled, subject });
};

/** Requests parts again that did not arrive. */
export const continueReceiving = (world: World, now: Instant): void =>
  world.incomingSnapshots
    .takeDue('request', now)
    .forEach((incoming) => requestParts(world, incoming, now));

/**
 * Whether an offer replaces what is being received. Another snapshot of the same sender does, as that
 * one no longer has the former, and any snapshot once parts have stopped to arrive.
 */
const shouldReceive = (world: World, from: DaemonId, index: number, now: Instant): boolean => {
  const { state, commitIndex } = replicaOf(world);
  if (!isReceivingState[state] || index <= commitIndex) return false;
  const incoming = incomingOf(world);
  if (incoming === undefined) return true;
  return incoming.from === from ? incoming.index !== index : now >= incoming.replacementDeadline;
};

const recordAbandoned = (world: World): void => {
  const incoming = incomingOf(world);
  if (incoming === undefined || incoming.requestDeadline === never) return;
  const { from, index, parts } = incoming;
  world.events.append({
    kind: EventKind.SnapshotAbandoned,
    subject: { from, index, parts: parts.length },
  });
};

type SnapshotMessageKind = 'snapshotOffered' | 'snapshotRequested' | 'snapshotSent';

/** Handlers for the messages of transfers. */
export const snapshotHandlers: Pick<
  HandlerTable<ConsensusMessage, void, [World, DaemonRow, Instant]>,
  SnapshotMessageKind
> = {
  snapshotOffered: ({ index }, world, sender, now) => {
    if (!shouldReceive(world, sender.id, index, now)) return;
    recordAbandoned(world);
    startReceiving(world, sender.id, index, now);
  },
  snapshotRequested: ({ index, part, isRelay }, world, { id }, now) => {
    const snapshot = snapshotOf(world);
    if (snapshot === undefined) return;
    if (snapshot.header.index !== index) {
      offerSnapshot(world, id);
      return;
    }
    world.snapshots.change(snapshot.id, {
      transferDeadline: deadlineAfter(now, transferTimeoutMilliseconds),
    });
    sendParts(world, snapshot, { id, isRelay, first: part });
  },
  snapshotSent: ({ term, header, part, count, content }, world, sender, now) => {
    const incoming = incomingOf(world);
    const isExpected =
      incoming?.from === sender.id &&
      incoming.index === header.index &&
      incoming.parts.length === part;
    if (!isExpected) return;
    const parts = content === null ? incoming.parts : [...incoming.parts, content];
    const received: IncomingSnapshotRow = {
      ...incoming,
      parts,
      progressAt: now,
      requestDeadline: deadlineAfter(now, partTimeoutMilliseconds),
      replacementDeadline: deadlineAfter(now, partTimeoutMilliseconds),
    };
    world.incomingSnapshots.put(received);
    if (part + 1 >= count) finishReceiving(world, { header, term }, now);
    else if ((part + 1) % partsPerRequest === 0) requestParts(world, received, now);
  },
};
