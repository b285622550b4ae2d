/**
 * Keeps the number of voters: the leader removes a voter that has fallen silent where a learner can take
 * its place, adds learners while voters are missing, and replaces voters that retire. One change is agreed
 * before the next begins. A leader that retires itself resigns, and its successor removes it; one that is
 * stopped resigns too, so that nobody waits for the end of its lease.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import { DaemonState, type DaemonRow } from '../../membership/common/membershipTables.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { renewalMilliseconds } from './consensusTiming.js';
import { becomeFollower, otherMembers, quorumSize } from './election.js';
import { changeReplica, replicaOf } from './replicaLog.js';
import { isCurrentLeader, type ReplicaRow } from './replicaTables.js';
import { areVotersCaughtUp, isRetiring } from './retirement.js';

const proposalMilliseconds = 5_000;

/** A voter that has resigned asks for no votes while the others elect: several election timeouts. */
const resignationMilliseconds = 5_000;

/**
 * A voter counts for a change if it has answered a renewal that was sent so lately: two renewals and a round
 * between regions. One that is lost falls out of the count long before it is suspected.
 */
const answerMilliseconds = 2 * renewalMilliseconds + 100;

/** Whether these voters would agree on a change: enough of them answer the leader now, or are added by it. */
const canAgree = (world: World, voters: readonly string[], now: Instant): boolean => {
  const answering = otherMembers(world).filter(
    ({ id, renewedAt }) =>
      voters.includes(id) && deadlineAfter(renewedAt, answerMilliseconds) >= now,
  );
  const added = voters.filter((name) => !world.members.has(asBrand<DaemonId>(name)));
  return 1 + answering.length + added.length > voters.length / 2;
};

const isSettled = ({ votersIndex, commitIndex }: ReplicaRow): boolean => votersIndex <= commitIndex;

const learnersOf = (world: World): DaemonRow[] =>
  [...world.daemons.rows()].filter(
    (row) =>
      row.isControl &&
      row.state === DaemonState.Alive &&
      !world.members.has(row.id) &&
      !isRetiring(world, row.id),
  );

/** A voter that has fallen silent, and one that this daemon has never heard of. */
const findSilent = (world: World): string | undefined =>
  [...world.members.rows()].find(({ id, isSelf }) => {
    const daemon = world.daemons.get(id);
    return !isSelf && (daemon === undefined || daemon.state === DaemonState.Suspected);
  })?.id;

const namesOf = (world: World): string[] => [...world.members.rows()].map(({ id }) => id);

const isRetiringVoter = (world: World, name: string): boolean =>
  isRetiring(world, asBrand<DaemonId>(name));

/** The voters after the next change, where one of them retires: its successor comes first. */
const replaceRetiring = (
  world: World,
  voters: readonly string[],
  retiring: string,
): string[] | undefined => {
  const [learner] = learnersOf(world);
  const isReplaced = voters.length > world.fleet.voterCount;
  if (!isReplaced) return learner === undefined ? undefined : [...voters, learner.id];
  const mayGo = areVotersCaughtUp(world) && retiring !== world.self.name;
  return mayGo ? voters.filter((name) => name !== retiring) : undefined;
};

/** The voters after the next change, or undefined where none is due. */
const nextVoters = (world: World): string[] | undefined => {
  const voters = namesOf(world);
  // The first voters are put into the log, as a voter that loses its disk forgets them.
  if (replicaOf(world).votersIndex === 0) return voters;
  const retiring = voters.find((name) => isRetiringVoter(world, name));
  if (retiring !== undefined) return replaceRetiring(world, voters, retiring);
  const [learner] = learnersOf(world);
  if (learner === undefined) return undefined;
  if (voters.length < world.fleet.voterCount) return [...voters, learner.id];
  const silent = findSilent(world);
  return silent === undefined ? undefined : voters.filter((name) => name !== silent);
};

const propose = (world: World, voters: string[], now: Instant): void => {
  world.events.append({ kind: EventKind.VotersChanging, subject: { voters: voters.join(',') } });
  world.proposals.append({
    id: world.identifiers.next('voters'),
    command: { kind: 'votersSet', voters },
    proposalDeadline: deadlineAfter(now, proposalMilliseconds),
  });
};

/** Leaves the lead to another voter, and tells the voters at once. */
const resign = (world: World, now: Instant): void => {
  becomeFollower(world, now);
  changeReplica(world, { electionDeadline: deadlineAfter(now, resignationMilliseconds) });
  otherMembers(world).forEach(({ id }) => world.daemons.change(id, { heartbeatDeadline: now }));
};

/** Resigns once a successor of this voter holds the log. */
const resignIfRetiring = (world: World, now: Instant): void => {
  const isReplaced = world.members.size() > world.fleet.voterCount;
  if (!isReplaced || !isRetiringVoter(world, world.self.name) || !areVotersCaughtUp(world)) return;
  resign(world, now);
};

/** Whether the other voters can elect one of them without this daemon. */
const canElectAnother = (world: World): boolean => {
  const alive = otherMembers(world).filter(
    ({ id }) => world.daemons.get(id)?.state === DaemonState.Alive,
  );
  return alive.length >= quorumSize(world);
};

/** Creates the system of voters. */
export const createVoterSystem = (world: World): System => {
  const changes = [
    world.daemons.createChangeReader(),
    world.replica.createChangeReader(),
    world.members.createChangeReader(),
    world.retirements.createChangeReader(),
  ];
  return {
    name: 'voter',
    run: (now) => {
      const hasChanges = changes.map((reader) => reader.take().length > 0).includes(true);
      const replica = replicaOf(world);
      if (!isCurrentLeader(replica, now) || !isSettled(replica)) return;
      if (world.isLeaving() && canElectAnother(world)) {
        resign(world, now);
        return;
      }
      if (!hasChanges) return;
      const voters = world.proposals.size() === 0 ? nextVoters(world) : undefined;
      if (voters === undefined) resignIfRetiring(world, now);
      else if (canAgree(world, voters, now)) propose(world, voters, now);
    },
  };
};
