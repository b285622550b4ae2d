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
  /** Whether events have been received since the last call of `take`. */
  readonly hasEvents: () => boolean;
  /**
   * Whether the event identifiers were consecutive so far, and every version a whole number. Later
   * events do not count, because it is unknown to which text or version they belong.
   */
  readonly isInOrder: () => boolean;
  /** Whether the bytes so far end after a whole event; if not, an event was cut. */
  readonly isBetweenEvents: () => boolean;
  /** Number of events of the text, including those before this start. */
  readonly eventCount: () => number;
  /** Whether the event that is being received, the bytes and the events are within their limits. */
  readonly isWithinLimits: () => boolean;
}

/** Maximum bytes between two events, which includes comments. Events have some hundred bytes. */
const maximumEventBytes = 256 * 1024;

/** Maximum bytes of one start of a run; a text of the longest item has below 100 KB. */
const maximumTextBytes = 16 * 1024 * 1024;

/** A blank line, which ends an event, at the end of a text. */
const blankLinePattern = /(?:\r\n|\n|\r(?!\n)){2}$/;

/** Characters of the longest blank line. */
const blankLineLength = 4;

const parseVersion = (text: string): number | undefined => {
  const version = /^\d+$/.test(text) ? Number(text) : Number.NaN;
  return Number.isSafeInteger(version) ? version : undefined;
};

/** Where a reader begins, and how far its text may go. */
export interface TextReaderOptions {
  /** Number of events received by earlier starts of the run. */
  readonly previousEventCount: number;
  /** Number of events that the whole text can have. */
  readonly maximumEventCount: number;
  /** Weight version named by the response headers. */
  readonly initialVersion: number | null;
  /** Event field that announces a change of the version. */
  readonly weightVersionField: string;
}

/** Creates a reader of the response to one start of a run. */
export const createTextEventReader = ({
  previousEventCount,
  maximumEventCount,
  initialVersion,
  weightVersionField,
}: TextReaderOptions): TextEventReader => {
  const decoder = new TextDecoder();
  let events: string[] = [];
  let versions = new Set<number>();
  let eventCount = previousEventCount;
  let currentVersion = initialVersion;
  let isOrdered = true;
  let bytesSinceEvent = 0;
  let totalBytes = 0;
  let tail = '';

  const parser = createParser({
    onEvent: ({ id, data }) => {
      bytesSinceEvent = 0;
      if (Number(id) !== eventCount + 1) isOrdered = false;
      if (!isOrdered) return;
      eventCount += 1;
      events.push(data);
      if (currentVersion !== null) versions.add(currentVersion);
    },
    onError: ({ field, value }) => {
      if (field !== weightVersionField || value === undefined) return;
      const version = parseVersion(value);
      if (version === undefined) isOrdered = false;
      else currentVersion = version;
    },
  });

  return {
    push: (chunk) => {
      totalBytes += chunk.length;
      bytesSinceEvent += chunk.length;
      const text = decoder.decode(chunk, { stream: true });
      tail = `${tail}${text}`.slice(-blankLineLength);
      parser.feed(text);
    },
    hasEvents: () => events.length > 0,
    isWithinLimits: () =>
      bytesSinceEvent <= maximumEventBytes &&
      totalBytes <= maximumTextBytes &&
      eventCount <= maximumEventCount,
    take: () => {
      const part = { text: events, versions: [...versions] };
      events = [];
      versions = new Set();
      return part;
    },
    isInOrder: () => isOrdered,
    isBetweenEvents: () => tail === '' || blankLinePattern.test(tail),
    eventCount: () => eventCount,
  };
};
