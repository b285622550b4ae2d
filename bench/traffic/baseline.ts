/**
 * The baseline policy: one first-come, first-served queue for all slots, with the same queue deadline. It
 * has exact knowledge of every slot, an advantage over entries that learn of upstreams from reports.
 */
import { createHeap } from '../../src/base/common/heap.js';
import { createRequests, type LoadSettings } from './load.js';
import type { Outcome } from './outcome.js';

/** Simulates the requests of a load in the order of arrival; `queueMilliseconds` limits the wait. */
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
