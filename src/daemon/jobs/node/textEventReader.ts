/**
 * Reads the server-sent events of one start of a run: the data of complete events, the number of
 * events received and the weight versions that generated them.
 */
import { createParser } from 'eventsource-parser';

/** Events of a text that were received since the previous part. */
export interface TextPart {
  /** Event data in order. */
  readonly text: readonly string[];
  /** Weight versions that generated the events. */
  readonly versions: readonly number[];
}

/** Incremental reader of a text. */
export interface TextEventReader {
  readonly push: (chunk: Uint8Array) => void;
  /** Returns and clears the complete events received since the last call. */
  readonly take: () => TextPart;
  /** Whether the event identifiers were consecutive so far. */
  readonly isInOrder: () => boolean;
}

/**
 * Creates a reader. `previousEventCount` is the number of events received by earlier starts of the
 * run, `initialVersion` the weight version named by the response headers, and `weightVersionField`
 * the event field that announces a change of the version.
 */
export const createTextEventReader = (
  previousEventCount: number,
  initialVersion: number | null,
  weightVersionField: string,
): TextEventReader => {
  const decoder = new TextDecoder();
  let events: string[] = [];
  let versions = new Set<number>();
  let eventCount = previousEventCount;
  let currentVersion = initialVersion;
  let isOrdered = true;

  const parser = createParser({
    onEvent: ({ id, data }) => {
      if (Number(id) !== eventCount + 1) isOrdered = false;
      if (!isOrdered) return;
      eventCount += 1;
      events.push(data);
      if (currentVersion !== null) versions.add(currentVersion);
    },
    onError: ({ field, value }) => {
      if (field === weightVersionField && value !== undefined) currentVersion = Number(value);
    },
  });

  return {
    push: (chunk) => parser.feed(decoder.decode(chunk, { stream: true })),
    take: () => {
      const part = { text: events, versions: [...versions] };
      events = [];
      versions = new Set();
      return part;
    },
    isInOrder: () => isOrdered,
  };
};
