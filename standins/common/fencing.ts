/**
 * The fencing check of a stand-in: it remembers the highest number and refuses lower ones, or ignores
 * them, by its settings.
 */

/** Remembers the highest fencing number. */
export interface FencingCheck {
  /** Whether a message with this number may act; a number that may is remembered. */
  readonly admits: (fencing: number) => boolean;
  /** The highest number seen, or null where numbers are ignored. */
  readonly highest: () => number | null;
}

/** Creates a check that has seen no number. */
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

/** The body of a refusal of an older fencing number. */
export const createFencingRefusal = (fencing: number, highest: number | null) => ({
  kind: 'olderFencing' as const,
  message: `Fencing number ${fencing} is below ${highest}; ask the present leader to send the order.`,
});
