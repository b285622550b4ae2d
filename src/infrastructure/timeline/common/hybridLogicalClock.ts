/**
 * A hybrid logical clock: wall time that never goes backwards and moves past every stamp received, so
 * that an effect is stamped after its cause even where the clocks of two VMs disagree.
 */
import type { WallClock } from '../../../base/common/time.js';
import type { Stamp } from './timelineEvent.js';

/** Gives stamps that rise. */
export interface HybridLogicalClock {
  /** The stamp of a local event or of a message that is being sent. */
  readonly next: () => Stamp;
  /** Moves the clock past the stamp of a received message. */
  readonly observe: (stamp: Stamp) => void;
}

/** Creates a clock over the wall clock of this VM. */
export const createHybridLogicalClock = (wallClock: WallClock): HybridLogicalClock => {
  let wall = 0;
  let counter = 0;

  const advanceTo = (newWall: number, newCounter: number): void => {
    wall = newWall;
    counter = newCounter;
  };

  return {
    next: () => {
      const reading = wallClock();
      if (reading > wall) advanceTo(reading, 0);
      else advanceTo(wall, counter + 1);
      return { wall, counter };
    },
    observe: (stamp) => {
      if (stamp.wall > wall) advanceTo(stamp.wall, stamp.counter);
      else if (stamp.wall === wall) advanceTo(wall, Math.max(counter, stamp.counter));
    },
  };
};
