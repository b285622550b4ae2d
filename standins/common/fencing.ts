/**
 * The fencing check of a stand-in: it records the highest fencing token and refuses lower ones,
 * unless the check is disabled in the settings.
 */

/** Tracks the highest fencing token. */
export interface FencingCheck {
  /** Returns whether a message with this token is accepted, and records an accepted token. */
  readonly admits: (fencing: number) => boolean;
  /** The highest accepted token, or null if the check is disabled. */
  readonly highest: () => number | null;
}

/** Creates a check without an accepted token. */
export const createFencingCheck = (checksFencing: boolean): FencingCheck => {
  let highestSeen = 0;
  return {
    admits: (fencing) => {
      if (!checksFencing) return true;
      if (fencing < highestSeen) return false;
      highestSeen = fencing;
      return true;
    },
    highest: () => (checksFencing ? highestSeen : null),
  };
};

/** Creates the body of a refusal of an older fencing token. */
export const createFencingRefusal = (fencing: number, highest: number | null) => ({
  kind: 'olderFencing' as const,
  message: `Fencing token ${fencing} is lower than ${highest}; send it from the current leader.`,
});
