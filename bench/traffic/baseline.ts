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
  const slotsByFreeTime = createHeap<number>();
  Array.from({ length: load.engines * load.slots }, (_, slot) => slotsByFreeTime.push(0, slot));
  return createRequests(load).map((request) => {
    const slot = slotsByFreeTime.peek()!;
    const startedAt = Math.max(request.at, slot.priority);
    if (startedAt - request.at > queueMilliseconds) {
      return {
        request,
        waitMilliseconds: queueMilliseconds,
        isAnswered: false,
        endedAt: request.at + queueMilliseconds,
      };
    }
    slotsByFreeTime.pop();
    const endedAt = startedAt + request.tokens * load.millisecondsPerToken;
    slotsByFreeTime.push(endedAt, slot.value);
    return { request, waitMilliseconds: startedAt - request.at, isAnswered: true, endedAt };
  });
};
