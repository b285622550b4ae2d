/**
 * A hybrid logical clock: wall time that never decreases and advances past every received stamp, so
 * that an effect gets a later stamp than its cause even if the clocks of two VMs differ.
 */
import type { WallClock } from '../../../base/common/time.js';
import type { Stamp } from './timelineEvent.js';

/** Creates strictly increasing stamps. */
export interface HybridLogicalClock {
  /** Returns the stamp for a local event or an outgoing message. */
  readonly next: () => Stamp;
  /** Advances the clock to the stamp of a received message. */
  readonly observe: (stamp: Stamp) => void;
}

/** Creates a clock based on the wall clock of this VM. */
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
