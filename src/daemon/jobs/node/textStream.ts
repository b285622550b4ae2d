/**
 * Reads the events of one start of a run: the data of whole events, the identifier of the last one, and
 * the weight versions that made them.
 */
import { createParser } from 'eventsource-parser';

/** What has come of a text. */
export interface TextStream {
  readonly push: (chunk: Uint8Array) => void;
  /** Data of the whole events, in order. */
  readonly events: () => readonly string[];
  /** Versions under which those events were made. */
  readonly versions: () => readonly number[];
  /** Whether the identifiers of the events follow each other without a gap. */
  readonly isInOrder: () => boolean;
}

/**
 * Creates a reader. `lastEvent` is the number of events that came before; `version` is what the head of
 * the answer names; `versionField` names the line that tells of a change.
 */
export const createTextStream = (
  lastEvent: number,
  version: number | null,
  versionField: string,
): TextStream => {
  const decoder = new TextDecoder();
  const events: string[] = [];
  const versions = new Set<number>();
  let present = version;
  let inOrder = true;

  const parser = createParser({
    onEvent: ({ id, data }) => {
      if (Number(id) !== lastEvent + events.length + 1) inOrder = false;
      if (!inOrder) return;
      events.push(data);
      if (present !== null) versions.add(present);
    },
    onError: ({ field, value }) => {
      if (field === versionField && value !== undefined) present = Number(value);
    },
  });

  return {
    push: (chunk) => parser.feed(decoder.decode(chunk, { stream: true })),
    events: () => events,
    versions: () => [...versions],
    isInOrder: () => inOrder,
  };
};
