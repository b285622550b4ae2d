/**
 * Learners: daemons without a vote ask one daemon near them for committed entries, and get them as they
 * come. A daemon with the role `control` relays what it has; so entries go from voters to learners in
 * each zone and from those to the daemons of the zone.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { HandlerTable, UnionMember } from '../../../base/common/handlers.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import { Role } from '../../../infrastructure/settings/common/deployment.js';
import { DaemonState, type DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { Topic, topicOfCommand } from './command.js';
import type { ConsensusMessage } from './consensusMessages.js';
import {
  followMilliseconds,
  followSilenceMilliseconds,
  learnerSilenceMilliseconds,
  maximumEntriesInMessage,
} from './consensusTiming.js';
import type { LogEntry } from './logEntry.js';
import { changeReplica, entriesBetween, replicaOf } from './replicaLog.js';
import {
  entryIdOf,
  isCurrentLeader,
  ReplicaState,
  type FollowingLearnerRow,
} from './replicaTables.js';

/** Whether this daemon keeps every entry, to vote on them or to relay them. */
export const keepsEntries = (world: World): boolean => world.self.roles.includes(Role.Control);

const sourcesOf = (world: World): DaemonRow[] => {
  const isSource = (row: DaemonRow): boolean =>
    !row.isSelf && (keepsEntries(world) ? row.isVoter : row.isControl);
  return [...world.daemons.rows()].filter(isSource);
};

const distanceTo = (world: World, row: DaemonRow): number => {
  if (row.zone === world.self.zone) return 0;
  return row.region === world.self.region ? 1 : 2;
};

/** Chooses the nearest source that lives, another than the one that fell silent where there is one. */
const chooseRelay = (world: World): DaemonId | null => {
  const { relay } = replicaOf(world);
  const sources = sourcesOf(world).filter((row) => row.state !== DaemonState.Suspected);
  const others = sources.filter((row) => row.id !== relay);
  const candidates = others.length > 0 ? others : sources;
  const nearest = Math.min(...candidates.map((row) => distanceTo(world, row)));
  const near = candidates.filter((row) => distanceTo(world, row) === nearest);
  return near[world.random.nextInteger(Math.max(1, near.length))]?.id ?? null;
};

const relayNow = (world: World, now: Instant): DaemonId | null => {
  const { relay, relayDeadline } = replicaOf(world);
  if (relay !== null && now < relayDeadline) return relay;
  const chosen = chooseRelay(world);
  changeReplica(world, {
    relay: chosen,
    relayDeadline: deadlineAfter(now, followSilenceMilliseconds),
  });
  return chosen;
};

/** Asks the daemon that this learner follows, where that is due. */
export const follow = (world: World, now: Instant): void =>
  world.replica.takeDue('follow', now).forEach(({ state }) => {
    if (state !== ReplicaState.Learner) return;
    const to = relayNow(world, now);
    const { commitIndex } = replicaOf(world);
    changeReplica(world, { followDeadline: deadlineAfter(now, followMilliseconds) });
    if (to === null) return;
    world.outgoingMessages.append({
      to,
      message: {
        kind: 'followRequested',
        afterIndex: commitIndex,
        isRelay: keepsEntries(world),
        askedAt: now,
      },
    });
  });

const wants = (learner: FollowingLearnerRow, entry: LogEntry): boolean =>
  learner.isRelay ||
  (entry.origin === learner.id && topicOfCommand[entry.command.kind] === Topic.Control) ||
  topicOfCommand[entry.command.kind] === Topic.Configuration;

const ageOf = (world: World, now: Instant): number | null => {
  const replica = replicaOf(world);
  if (isCurrentLeader(replica, now)) return 0;
  const { currentAsOf } = replica;
  return Number.isFinite(currentAsOf) ? now - currentAsOf : null;
};

const sendFollowed = (world: World, learner: FollowingLearnerRow, now: Instant): void => {
  const { term, leader, deliveredIndex } = replicaOf(world);
  const last = Math.min(deliveredIndex, learner.sentIndex + maximumEntriesInMessage);
  const entries = entriesBetween(world, learner.sentIndex + 1, last);
  const throughIndex = Math.max(learner.sentIndex, last);
  world.outgoingMessages.append({
    to: learner.id,
    message: {
      kind: 'entriesFollowed',
      term,
      leader,
      afterIndex: learner.sentIndex,
      entries: entries.filter((entry) => wants(learner, entry)),
      throughIndex,
      askedAt: learner.askedAt,
      // Age is known only of the whole; a part of it says nothing of what is still to come.
      age: throughIndex >= deliveredIndex ? ageOf(world, now) : null,
    },
  });
  world.followingLearners.change(learner.id, { sentIndex: throughIndex });
};

const sendAll = (world: World, id: DaemonId, now: Instant): void => {
  let learner = world.followingLearners.get(id)!;
  while (learner.sentIndex < replicaOf(world).deliveredIndex) {
    sendFollowed(world, learner, now);
    learner = world.followingLearners.get(id)!;
  }
};

/** Sends new committed entries to the learners that follow this daemon. */
export const feedLearners = (world: World, now: Instant): void => {
  world.followingLearners.takeDue('silence', now).forEach(({ id }) => {
    world.followingLearners.remove(id);
  });
  [...world.followingLearners.rows()].forEach(({ id }) => sendAll(world, id, now));
};

type Followed = UnionMember<ConsensusMessage, 'entriesFollowed'>;

const handOver = (world: World, entry: LogEntry): void => {
  if (keepsEntries(world)) world.logEntries.put({ ...entry, id: entryIdOf(entry.index) });
  world.committedEntries.append({ ...entry, proposal: asBrand(entry.proposal) });
};

const takeFollowed = (world: World, followed: Followed): void => {
  const { commitIndex } = replicaOf(world);
  followed.entries
    .filter((entry) => entry.index > commitIndex)
    .forEach((entry) => handOver(world, entry));
  const throughIndex = Math.max(commitIndex, followed.throughIndex);
  changeReplica(world, {
    commitIndex: throughIndex,
    deliveredIndex: throughIndex,
    lastIndex: throughIndex,
  });
};

/** What a daemon does with the messages of following. */
export const followHandlers: Pick<
  HandlerTable<ConsensusMessage, void, [World, DaemonRow, Instant]>,
  'followRequested' | 'entriesFollowed'
> = {
  followRequested: (request, world, sender, now) => {
    if (!keepsEntries(world)) return;
    const before = world.followingLearners.get(sender.id);
    const isStuck = before === undefined || before.acknowledgedIndex === request.afterIndex;
    const learner = world.followingLearners.put({
      id: sender.id,
      isRelay: request.isRelay,
      sentIndex: isStuck ? request.afterIndex : Math.max(before.sentIndex, request.afterIndex),
      acknowledgedIndex: request.afterIndex,
      askedAt: request.askedAt,
      silenceDeadline: deadlineAfter(now, learnerSilenceMilliseconds),
    });
    sendFollowed(world, learner, now);
  },
  entriesFollowed: (followed, world, sender) => {
    const { state, relay, commitIndex, term, currentAsOf, relayDeadline } = replicaOf(world);
    if (state !== ReplicaState.Learner || sender.id !== relay) return;
    if (followed.afterIndex > commitIndex) return;
    takeFollowed(world, followed);
    const known = followed.age === null ? currentAsOf : followed.askedAt - followed.age;
    changeReplica(world, {
      term: Math.max(term, followed.term),
      leader: followed.leader === null ? null : asBrand<DaemonId>(followed.leader),
      // One that answers and is itself cut off from the leader is as good as silent.
      relayDeadline: Math.max(relayDeadline, deadlineAfter(known, followSilenceMilliseconds)),
      currentAsOf: Math.max(currentAsOf, known),
    });
  },
};
