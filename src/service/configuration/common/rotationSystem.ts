/**
 * Completes key rotations: the leader proposes to withdraw the old key when the overlap has
 * expired. Deadlines are local to the leader. A new leader restarts the full overlap, so that an
 * overlap is never shortened.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { leadershipId } from '../../consensus/common/consensusTables.js';
import type { World } from '../../world/common/world.js';
import type { KeyRotationRow } from './settingsTables.js';

const proposalTimeoutMilliseconds = 5_000;
const retryDelayMilliseconds = 5_000;
/** Operator name recorded in the settings history for withdrawals made by this system. */
export const rotationOperator = 'key-rotation';

const proposeWithdrawal = (world: World, rotation: KeyRotationRow, now: Instant): void => {
  const request = `rotation.${rotation.id}.${rotation.revision}`;
  world.proposals.append({
    id: asBrand(request),
    command: {
      kind: 'keyWithdraw',
      request,
      content: request,
      operator: rotationOperator,
      workspace: rotation.workspace,
      name: rotation.name,
    },
    proposalDeadline: deadlineAfter(now, proposalTimeoutMilliseconds),
  });
  const withdrawalDeadline = deadlineAfter(now, retryDelayMilliseconds);
  world.rotationDeadlines.put({ id: rotation.id, withdrawalDeadline });
};

const isLeader = (world: World): boolean => world.leadership.get(leadershipId)?.isSelf === true;

const scheduleNewRotations = (world: World, now: Instant): void =>
  [...world.keyRotations.rows()]
    .filter(({ id }) => !world.rotationDeadlines.has(id))
    .forEach(({ id, overlapMilliseconds }) =>
      world.rotationDeadlines.put({
        id,
        withdrawalDeadline: deadlineAfter(now, overlapMilliseconds),
      }),
    );

const removeObsoleteDeadlines = (world: World): void =>
  [...world.rotationDeadlines.rows()]
    .filter(({ id }) => !isLeader(world) || !world.keyRotations.has(id))
    .forEach(({ id }) => world.rotationDeadlines.remove(id));

/** Creates the system that withdraws rotated keys when their overlap expires. */
export const createRotationSystem = (world: World): System => {
  const rotationChanges = world.keyRotations.createChangeReader();
  const leadershipChanges = world.leadership.createChangeReader();
  return {
    name: 'rotation',
    run: (now) => {
      const changes = rotationChanges.take().length + leadershipChanges.take().length;
      if (changes > 0) {
        removeObsoleteDeadlines(world);
        if (isLeader(world)) scheduleNewRotations(world, now);
      }
      world.rotationDeadlines.takeDue('withdrawal', now).forEach(({ id }) => {
        const rotation = world.keyRotations.get(id);
        if (rotation !== undefined && isLeader(world)) proposeWithdrawal(world, rotation, now);
      });
    },
  };
};
