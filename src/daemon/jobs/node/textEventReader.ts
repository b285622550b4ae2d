/**
 * Reads the events of one start of a run: the data of whole events, the identifier of the last one, and
 * the weight versions that made them.
 */
import { createParser } from 'eventsource-parser';

/** Some events of a text. */
export interface TextPart {
  /** Data of the events, in order. */
  readonly text: readonly string[];
  /** Versions under which they were made. */
  readonly versions: readonly number[];
}

/** What has come of a text. */
export interface TextEventReader {
  readonly push: (chunk: Uint8Array) => void;
  /** The whole events since they were last taken. */
  readonly take: () => TextPart;
  /** Whether the identifiers of the events follow each other without a gap. */
  readonly isInOrder: () => boolean;
}

/**
 * Creates a reader. `lastEvent` is the number of events that came before; `version` is what the head of
 * the answer names; `versionField` names the line that tells of a change.
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
