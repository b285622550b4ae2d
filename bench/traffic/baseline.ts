/**
 * The plain baseline: one queue in the order of arrival over all slots, with the same queue deadline. It
 * knows every slot at once, which favours it over entries that see upstreams by reports.
 */
import { createHeap } from '../../src/base/common/heap.js';
import { createRequests, type LoadSettings } from './load.js';
import type { Outcome } from './outcome.js';

/** Serves the requests of a load first come, first served. */
export const runFirstComeFirstServed = (
  load: LoadSettings,
  queueMilliseconds: number,
): readonly Outcome[] => {
  const freeAt = createHeap<number>();
  Array.from({ length: load.engines * load.slots }, (_, slot) => freeAt.push(0, slot));
  return createRequests(load).map((request) => {
    const slot = freeAt.peek()!;
    const start = Math.max(request.at, slot.priority);
    if (start - request.at > queueMilliseconds) {
      return {
        request,
        wait: queueMilliseconds,
        isAnswered: false,
        endedAt: request.at + queueMilliseconds,
      };
    }
    freeAt.pop();
    const endedAt = start + request.tokens * load.millisecondsPerToken;
    freeAt.push(endedAt, slot.value);
    return { request, wait: start - request.at, isAnswered: true, endedAt };
  });
};
