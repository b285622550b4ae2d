/**
 * A min-heap of keyed values whose entries can be moved and removed. Obsolete entries stay inside until
 * they surface or outnumber the live ones, so that memory stays in proportion to what is live.
 */
import { createHeap, type Heap } from './heap.js';

/** A min-heap by key; each key is in it at most once. */
export interface KeyedHeap {
  /** Number of live keys. */
  readonly size: () => number;
  /** Number of entries held, obsolete ones included; never over `2 * size + 32`. */
  readonly entryCount: () => number;
  /** The key with the lowest priority, or undefined where it is empty. */
  readonly first: () => string | undefined;
  /** The lowest priority, or undefined where it is empty. */
  readonly lowestPriority: () => number | undefined;
  /** Inserts a key or moves it to another priority. */
  readonly set: (key: string, priority: number) => void;
  readonly remove: (key: string) => void;
}

const obsoleteEntryAllowance = 32;

/** Creates an empty heap; keys of equal priority come out in no certain order. */
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
