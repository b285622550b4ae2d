/**
 * Extends the waits of the replica that protect others after a jump of the clock, before any message
 * is handled. The clock jumps when the VM was suspended, and when its time of day is set forward; the
 * two cannot be told apart. A lease must end early in both cases. A voter that refuses to vote, and a
 * new leader that holds back its orders, wait for the lease of another daemon, whose clock did not
 * jump, so these waits last as long as without the jump.
 */
import type { ClockJump, Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import { changeReplica, replicaOf } from './replicaLog.js';

/** Returns a deadline that had not expired before the jump as if the clock had not jumped. */
const extendDeadline = (deadline: Instant, { from, to }: ClockJump): Instant =>
  deadline > from ? deadline + (to - from) : deadline;

const handleClockJump = (world: World, jump: ClockJump): void => {
  const { voteRefusalDeadline, electionDeadline, orderDeadline } = replicaOf(world);
  changeReplica(world, {
    voteRefusalDeadline: extendDeadline(voteRefusalDeadline, jump),
    // A candidate votes for itself, so it must wait like a voter.
    electionDeadline: extendDeadline(electionDeadline, jump),
    orderDeadline: extendDeadline(orderDeadline, jump),
  });
  world.metrics.count('clock.jumps');
  world.events.append({
    kind: EventKind.ClockJumped,
    subject: { milliseconds: Math.round(jump.to - jump.from) },
  });
};

/** Creates the system; it must run before the system that handles messages. */
export const createClockJumpSystem = (world: World): System => ({
  name: 'clockJump',
  run: () => world.clockJumps.takeAll().forEach((jump) => handleClockJump(world, jump)),
});
