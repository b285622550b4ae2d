/**
 * Keeps the number of voters: the leader removes a voter that has fallen silent where a learner can take
 * its place, and adds learners while voters are missing. One change is agreed before the next begins.
 */
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import { DaemonState, type DaemonRow } from '../../membership/common/membershipTables.js';
import type { World } from '../../world/common/world.js';
import { replicaOf } from './replicaLog.js';
import { isCurrentLeader, type ReplicaRow } from './replicaTables.js';

const proposalMilliseconds = 5_000;

const isSettled = ({ votersIndex, commitIndex }: ReplicaRow): boolean => votersIndex <= commitIndex;

const learnersOf = (world: World): DaemonRow[] =>
  [...world.daemons.rows()].filter(
    (row) => row.isControl && row.state === DaemonState.Alive && !world.members.has(row.id),
  );

/** A voter that has fallen silent, and one that this daemon has never heard of. */
const findSilent = (world: World): string | undefined =>
  [...world.members.rows()].find(({ id, isSelf }) => {
    const daemon = world.daemons.get(id);
    return !isSelf && (daemon === undefined || daemon.state === DaemonState.Suspected);
  })?.id;

const namesOf = (world: World): string[] => [...world.members.rows()].map(({ id }) => id);

/** The voters after the next change, or undefined where none is due. */
const nextVoters = (world: World): string[] | undefined => {
  const voters = namesOf(world);
  // The first voters are put into the log, as a voter that loses its disk forgets them.
  if (replicaOf(world).votersIndex === 0) return voters;
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

/** Creates the system of voters. */
export const createVoterSystem = (world: World): System => {
  const changes = [world.daemons.readChanges(), world.replica.readChanges()];
  return {
    name: 'voter',
    run: (now) => {
      const hasChanges = changes.map((reader) => reader.take().length > 0).includes(true);
      const replica = replicaOf(world);
      if (!hasChanges || !isCurrentLeader(replica, now) || !isSettled(replica)) return;
      const voters = world.proposals.size() === 0 ? nextVoters(world) : undefined;
      if (voters !== undefined) propose(world, voters, now);
    },
  };
};
