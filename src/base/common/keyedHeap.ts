/**
 * A min-heap of keys whose priority can be changed and which can be removed. Obsolete entries are
 * discarded when they become the lowest, and all of them when they outnumber the current ones, so
 * that memory use stays proportional to the number of keys.
 */
import { createHeap, type Heap } from './heap.js';

/** A min-heap of unique keys. */
export interface KeyedHeap {
  /** Number of keys. */
  readonly size: () => number;
  /** Number of stored entries, including obsolete ones; at most `2 * size + 32`. */
  readonly entryCount: () => number;
  /** The key with the lowest priority, or undefined if the heap is empty. */
  readonly first: () => string | undefined;
  /** The lowest priority, or undefined if the heap is empty. */
  readonly lowestPriority: () => number | undefined;
  /** Inserts a key or changes its priority. */
  readonly set: (key: string, priority: number) => void;
  readonly remove: (key: string) => void;
}

const obsoleteEntryAllowance = 32;

/** Creates an empty heap. The order of keys with equal priority is unspecified. */
export const createKeyedHeap = (): KeyedHeap => {
  let heap: Heap<string> = createHeap();
  const priorities = new Map<string, number>();

  const rebuildIfMostlyObsolete = (): void => {
    if (heap.size() <= 2 * priorities.size + obsoleteEntryAllowance) return;
    heap = createHeap();
    priorities.forEach((priority, key) => heap.push(priority, key));
  };

  const discardObsoleteEntries = (): void => {
    let entry = heap.peek();
    while (entry !== undefined && priorities.get(entry.value) !== entry.priority) {
      heap.pop();
      entry = heap.peek();
    }
  };

  return {
    size: () => priorities.size,
    entryCount: () => heap.size(),
    first: () => {
      discardObsoleteEntries();
      return heap.peek()?.value;
    },
    lowestPriority: () => {
      discardObsoleteEntries();
      return heap.peek()?.priority;
    },
    set: (key, priority) => {
      if (priorities.get(key) === priority) return;
      priorities.set(key, priority);
      heap.push(priority, key);
      rebuildIfMostlyObsolete();
    },
    remove: (key) => {
      priorities.delete(key);
      rebuildIfMostlyObsolete();
    },
  };
};
