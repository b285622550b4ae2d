/**
 * A binary min-heap over numeric priorities. Only the lowest entry can be removed; owners that need
 * to remove another one mark it as obsolete and discard it when it becomes the lowest.
 */

/** A value with its priority. */
export interface HeapEntry<Value> {
  readonly priority: number;
  readonly value: Value;
}

/** A min-heap: `pop` removes the entry with the lowest priority. */
export interface Heap<Value> {
  readonly size: () => number;
  readonly peek: () => HeapEntry<Value> | undefined;
  readonly push: (priority: number, value: Value) => void;
  readonly pop: () => HeapEntry<Value> | undefined;
}

const parentPosition = (position: number): number => Math.floor((position - 1) / 2);

/** Creates an empty heap. */
export const createHeap = <Value>(): Heap<Value> => {
  const entries: HeapEntry<Value>[] = [];

  const swap = (first: number, second: number): void => {
    const entry = entries[first]!;
    entries[first] = entries[second]!;
    entries[second] = entry;
  };

  const hasLowerPriority = (first: number, second: number): boolean =>
    entries[first]!.priority < entries[second]!.priority;

  const siftUp = (): void => {
    let position = entries.length - 1;
    while (position > 0 && hasLowerPriority(position, parentPosition(position))) {
      swap(position, parentPosition(position));
      position = parentPosition(position);
    }
  };

  const lowestChildPosition = (position: number): number => {
    const left = 2 * position + 1;
    const right = left + 1;
    return right < entries.length && hasLowerPriority(right, left) ? right : left;
  };

  const siftDown = (): void => {
    let position = 0;
    let child = lowestChildPosition(position);
    while (child < entries.length && hasLowerPriority(child, position)) {
      swap(child, position);
      position = child;
      child = lowestChildPosition(position);
    }
  };

  return {
    size: () => entries.length,
    peek: () => entries[0],
    push: (priority, value) => {
      entries.push({ priority, value });
      siftUp();
    },
    pop: () => {
      const first = entries[0];
      const last = entries.pop();
      if (entries.length > 0 && last !== undefined) {
        entries[0] = last;
        siftDown();
      }
      return first;
    },
  };
};
