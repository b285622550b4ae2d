/**
 * A binary min-heap over numeric priorities. Entries are not removed from the middle: owners mark
 * them obsolete and skip them when they surface.
 */

/** One entry of a heap. */
export interface HeapEntry<Value> {
  readonly priority: number;
  readonly value: Value;
}

/** A min-heap: the entry with the lowest priority comes out first. */
export interface Heap<Value> {
  readonly size: () => number;
  readonly peek: () => HeapEntry<Value> | undefined;
  readonly push: (priority: number, value: Value) => void;
  readonly pop: () => HeapEntry<Value> | undefined;
}

const parentOf = (position: number): number => Math.floor((position - 1) / 2);

const siftUp = <Value>(entries: HeapEntry<Value>[], start: number): void => {
  let position = start;
  while (position > 0) {
    const parent = parentOf(position);
    const entry = entries[position]!;
    const above = entries[parent]!;
    if (above.priority <= entry.priority) return;
    entries[position] = above;
    entries[parent] = entry;
    position = parent;
  }
};

const smallestChildOf = <Value>(entries: HeapEntry<Value>[], position: number): number => {
  const left = 2 * position + 1;
  const right = left + 1;
  if (right < entries.length && entries[right]!.priority < entries[left]!.priority) return right;
  return left;
};

const siftDown = <Value>(entries: HeapEntry<Value>[]): void => {
  let position = 0;
  while (2 * position + 1 < entries.length) {
    const child = smallestChildOf(entries, position);
    const entry = entries[position]!;
    const below = entries[child]!;
    if (entry.priority <= below.priority) return;
    entries[position] = below;
    entries[child] = entry;
    position = child;
  }
};

/** Creates an empty heap. */
export const createHeap = <Value>(): Heap<Value> => {
  const entries: HeapEntry<Value>[] = [];
  return {
    size: () => entries.length,
    peek: () => entries[0],
    push: (priority, value) => {
      entries.push({ priority, value });
      siftUp(entries, entries.length - 1);
    },
    pop: () => {
      const first = entries[0];
      const last = entries.pop();
      if (entries.length > 0 && last !== undefined) {
        entries[0] = last;
        siftDown(entries);
      }
      return first;
    },
  };
};
