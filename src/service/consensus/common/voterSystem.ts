/**
 * Maintains the number of voters; acts only on the leader. It removes an unresponsive voter if a
 * learner can replace it, adds learners while voters are missing, and replaces retiring voters. Where
 * the settings ask to tolerate the loss of zones, it spreads the voters over zones. A change must be
 * committed before the next one starts. A leader that retires resigns and is removed by its
 * successor; a leader that is being stopped also resigns, so that no voter waits for its lease to
 * expire.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import { DaemonState, type DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { leaseRenewalIntervalMilliseconds } from './consensusTiming.js';
import { becomeFollower, otherMembers, quorumSize } from './election.js';
import { appendEntry, changeReplica, replicaOf } from './replicaLog.js';
import { isCurrentLeader, type ReplicaRow } from './replicaTables.js';
import { areVotersCaughtUp, isRetiring } from './retirement.js';
import {
  computeZoneLimit,
  findBestLearner,
  findReplaceableVoter,
  findSpreadingLearner,
  findSurplusVoter,
  type PlacedDaemon,
} from './voterPlacement.js';
import { applyLoggedVoters } from './voters.js';

/**
 * Time for which a voter that has resigned does not request votes, so that the others can elect a
 * leader. It spans several election timeouts.
 */
const resignationCooldownMilliseconds = 5_000;

/**
 * A voter counts as responsive if it has answered a renewal that was sent within this time: two
 * renewals and a round trip between regions. A lost voter stops counting long before it is
 * suspected.
 */
const answerWindowMilliseconds = 2 * leaseRenewalIntervalMilliseconds + 100;

/**
 * Whether a change to these voters can reach a quorum of them. This daemon, voters that currently
 * answer the leader, and voters that the change adds count towards it.
 */
const canReachQuorum = (world: World, voters: readonly string[], now: Instant): boolean => {
  const responsive = otherMembers(world).filter(
    ({ id, renewedAt }) =>
      voters.includes(id) && deadlineAfter(renewedAt, answerWindowMilliseconds) >= now,
  );
  const added = voters.filter((name) => !world.members.has(asBrand<DaemonId>(name)));
  return 1 + responsive.length + added.length > voters.length / 2;
};

const isVoterChangeCommitted = ({ votersIndex, commitIndex }: ReplicaRow): boolean =>
  votersIndex <= commitIndex;

const eligibleLearnersOf = (world: World): DaemonRow[] =>
  [...world.daemons.rows()].filter(
    (row) =>
      row.isControl &&
      row.state === DaemonState.Alive &&
      !world.members.has(row.id) &&
      !isRetiring(world, row.id),
  );

const placeOf = (world: World, name: string): PlacedDaemon => ({
  id: name,
  zone: world.daemons.get(asBrand<DaemonId>(name))?.zone ?? '',
});

const placesOf = (world: World, names: readonly string[]): PlacedDaemon[] =>
  names.map((name) => placeOf(world, name));

const zoneLimitOf = ({ fleet }: World): number =>
  computeZoneLimit(fleet.voterCount, fleet.places.toleratedZoneLosses);

/** Returns the voters that are suspected or unknown to this daemon. */
const unresponsiveVotersOf = (world: World): PlacedDaemon[] =>
  [...world.members.rows()]
    .filter(({ id, isSelf }) => {
      const daemon = world.daemons.get(id);
      return !isSelf && (daemon === undefined || daemon.state === DaemonState.Suspected);
    })
    .map(({ id }) => placeOf(world, id));

const voterNamesOf = (world: World): string[] => [...world.members.rows()].map(({ id }) => id);

const isRetiringVoter = (world: World, name: string): boolean =>
  isRetiring(world, asBrand<DaemonId>(name));

/**
 * Returns the voters after the next change that replaces a retiring voter: its successor is added
 * first, then it is removed. Returns undefined if no change is possible now.
 */
const computeVotersForRetirement = (
  world: World,
  voters: readonly string[],
  retiring: string,
): string[] | undefined => {
  const remaining = voters.filter((name) => name !== retiring);
  const learner = findBestLearner(
    placesOf(world, remaining),
    eligibleLearnersOf(world),
    zoneLimitOf(world),
  );
  const isReplaced = voters.length > world.fleet.voterCount;
  if (!isReplaced) return learner === undefined ? undefined : [...voters, learner.id];
  const canRemove = areVotersCaughtUp(world) && retiring !== world.self.name;
  return canRemove ? remaining : undefined;
};

/**
 * Returns the voters without one that became superfluous because a learner was promoted to spread
 * the voters over zones; undefined if there is none or the promoted learner lacks entries.
 */
const computeVotersWithoutSurplus = (
  world: World,
  voters: readonly string[],
): string[] | undefined => {
  const [unresponsive] = unresponsiveVotersOf(world);
  const surplus = areVotersCaughtUp(world)
    ? findSurplusVoter(placesOf(world, voters), world.self.name, zoneLimitOf(world))
    : undefined;
  const removed = unresponsive ?? surplus;
  return removed === undefined ? undefined : voters.filter((name) => name !== removed.id);
};

/** Returns the voters after the next change, or undefined if no change is due. */
const computeNextVoters = (world: World): string[] | undefined => {
  const voters = voterNamesOf(world);
  // The initial voters are written to the log, because a voter that loses its disk loses them.
  if (replicaOf(world).votersIndex === 0) return voters;
  const retiring = voters.find((name) => isRetiringVoter(world, name));
  if (retiring !== undefined) return computeVotersForRetirement(world, voters, retiring);
  const zoneLimit = zoneLimitOf(world);
  const isSpread = Number.isFinite(zoneLimit);
  if (isSpread && voters.length > world.fleet.voterCount)
    return computeVotersWithoutSurplus(world, voters);
  const learners = eligibleLearnersOf(world);
  const places = placesOf(world, voters);
  const learner = findBestLearner(places, learners, zoneLimit);
  if (learner === undefined) return undefined;
  if (voters.length < world.fleet.voterCount) return [...voters, learner.id];
  const unresponsive = unresponsiveVotersOf(world);
  const replaced = findReplaceableVoter(places, unresponsive, learners, zoneLimit);
  if (replaced !== undefined) return voters.filter((name) => name !== replaced.id);
  const promoted = findSpreadingLearner(places, learners, zoneLimit);
  return promoted === undefined ? undefined : [...voters, promoted.id];
};

/**
 * Appends a change of voters. It is not proposed like other commands: a pending proposal is resent to
 * later leaders, which would append it on top of changes that it was not computed from.
 */
const appendVoters = (world: World, voters: string[]): void => {
  world.events.append({ kind: EventKind.VotersChanging, subject: { voters: voters.join(',') } });
  appendEntry(world, {
    proposal: world.identifiers.next('voters'),
    origin: world.self.name,
    command: { kind: 'votersSet', voters },
  });
  applyLoggedVoters(world);
};

/** Steps down in favour of another voter, and sends heartbeats to all voters at once. */
const resign = (world: World, now: Instant): void => {
  becomeFollower(world, now);
  changeReplica(world, { electionDeadline: deadlineAfter(now, resignationCooldownMilliseconds) });
  otherMembers(world).forEach(({ id }) => world.daemons.change(id, { heartbeatDeadline: now }));
};

/** Resigns if this voter is retiring and its successor holds the log. */
const resignIfRetiring = (world: World, now: Instant): void => {
  const isReplaced = world.members.size() > world.fleet.voterCount;
  if (!isReplaced || !isRetiringVoter(world, world.self.name) || !areVotersCaughtUp(world)) return;
  resign(world, now);
};

/** Whether the other voters can elect a leader without this daemon. */
const canOthersElectLeader = (world: World): boolean => {
  const alive = otherMembers(world).filter(
    ({ id }) => world.daemons.get(id)?.state === DaemonState.Alive,
  );
  return alive.length >= quorumSize(world);
};

/** Creates the voter system. */
export const createVoterSystem = (world: World): System => {
  const changeReaders = [
    world.daemons.createChangeReader(),
    world.replica.createChangeReader(),
    world.members.createChangeReader(),
    world.retirements.createChangeReader(),
  ];
  return {
    name: 'voter',
    run: (now) => {
      const hasChanges = changeReaders.map((reader) => reader.take().length > 0).includes(true);
      const replica = replicaOf(world);
      if (!isCurrentLeader(replica, now) || !isVoterChangeCommitted(replica)) return;
      if (world.isLeaving() && canOthersElectLeader(world)) {
        resign(world, now);
        return;
      }
      if (!hasChanges) return;
      const voters = computeNextVoters(world);
      if (voters === undefined) resignIfRetiring(world, now);
      else if (canReachQuorum(world, voters, now)) appendVoters(world, voters);
    },
  };
};
