/**
 * Ends rotations of keys: the leader withdraws the old key when the overlap has passed. The deadline is
 * the leader's own; a new leader gives the whole overlap again, so that no overlap is cut short.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { leadershipId } from '../../consensus/common/consensusTables.js';
import type { World } from '../../world/common/world.js';
import type { KeyRotationRow } from './settingsTables.js';

const withdrawalProposalMilliseconds = 5_000;
const retryMilliseconds = 5_000;
/** The operator that the history names for a withdrawal by the system. */
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
    proposalDeadline: deadlineAfter(now, withdrawalProposalMilliseconds),
  });
  const withdrawalDeadline = deadlineAfter(now, retryMilliseconds);
  world.rotationDeadlines.put({ id: rotation.id, withdrawalDeadline });
};

const isLeader = (world: World): boolean => world.leadership.get(leadershipId)?.isSelf === true;

const armAbsent = (world: World, now: Instant): void =>
  [...world.keyRotations.rows()]
    .filter(({ id }) => !world.rotationDeadlines.has(id))
    .forEach(({ id, overlapMilliseconds }) =>
      world.rotationDeadlines.put({
        id,
        withdrawalDeadline: deadlineAfter(now, overlapMilliseconds),
      }),
    );

const dropObsolete = (world: World): void =>
  [...world.rotationDeadlines.rows()]
    .filter(({ id }) => !isLeader(world) || !world.keyRotations.has(id))
    .forEach(({ id }) => world.rotationDeadlines.remove(id));

/** Creates the system of rotations. */
export const createRotationSystem = (world: World): System => {
  const rotations = world.keyRotations.createChangeReader();
  const leadership = world.leadership.createChangeReader();
  return {
    name: 'rotation',
    run: (now) => {
      const changes = rotations.take().length + leadership.take().length;
      if (changes > 0) {
        dropObsolete(world);
        if (isLeader(world)) armAbsent(world, now);
      }
      world.rotationDeadlines.takeDue('withdrawal', now).forEach(({ id }) => {
        const rotation = world.keyRotations.get(id);
        if (rotation !== undefined && isLeader(world)) proposeWithdrawal(world, rotation, now);
      });
    },
  };
};
