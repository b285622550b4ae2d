/**
 * Bounds the memory for answers that are complete and that callers have not read. The answer that has
 * waited longest is given up; a single one is kept whatever its size.
 */

/** One answer that waits to be read. */
export interface UnreadAnswer {
  /** Its memory is free again. */
  readonly release: () => void;
}

export interface UnreadAnswers {
  /** `onDidGiveUp` is called at most once, when the answer has to be given up for another. */
  readonly add: (bytes: number, onDidGiveUp: () => void) => UnreadAnswer;
  /** Gives up the answer that has waited longest; false if there is none. */
  readonly giveUpOldest: () => boolean;
  /** Memory of all answers, also of those that were given up and are not released yet. */
  readonly heldBytes: () => number;
}

interface UnreadRow {
  readonly bytes: number;
  readonly onDidGiveUp: () => void;
}

/** Creates the bound of a process. */
export const createUnreadAnswers = (maximumBytes: number): UnreadAnswers => {
  /** Answers that were not given up, in the order in which they were added. */
  const waiting = new Set<UnreadRow>();
  const held = new Set<UnreadRow>();
  let waitingBytes = 0;
  let heldBytes = 0;

  const stopWaiting = (row: UnreadRow): void => {
    if (waiting.delete(row)) waitingBytes -= row.bytes;
  };

  const release = (row: UnreadRow): void => {
    stopWaiting(row);
    if (held.delete(row)) heldBytes -= row.bytes;
  };

  const giveUpOldest = (): boolean => {
    const [oldest] = waiting;
    if (oldest === undefined) return false;
    stopWaiting(oldest);
    oldest.onDidGiveUp();
    return true;
  };

  return {
    add: (bytes, onDidGiveUp) => {
      const row: UnreadRow = { bytes, onDidGiveUp };
      waiting.add(row);
      held.add(row);
      waitingBytes += bytes;
      heldBytes += bytes;
      while (waitingBytes > maximumBytes && waiting.size > 1) giveUpOldest();
      return { release: () => release(row) };
    },
    giveUpOldest,
    heldBytes: () => heldBytes,
  };
};
