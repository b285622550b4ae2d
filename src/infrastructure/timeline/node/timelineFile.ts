/**
 * Event files: one JSON object a line, one file a process. A writer appends and never waits for the
 * disk; a reader skips a last line that was cut off and refuses any other line that does not parse.
 */
import { createWriteStream, mkdirSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { err, ok, Result } from 'neverthrow';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import { timelineEventSchema, type TimelineEvent } from '../common/timelineEvent.js';

/** Appends events to the file of one process. */
export interface TimelineWriter extends AsyncDisposable {
  readonly write: (event: TimelineEvent) => void;
}

const fileSuffix = '.events.jsonl';

/** Opens the event file of a process, adding to what earlier runs wrote. */
export const createTimelineWriter = (folder: string, processName: string): TimelineWriter => {
  mkdirSync(folder, { recursive: true });
  const stream = createWriteStream(join(folder, `${processName}${fileSuffix}`), { flags: 'a' });
  return {
    write: (event) => {
      stream.write(`${JSON.stringify(event)}\n`);
    },
    dispose: () =>
      new Promise((resolve) => {
        stream.end(() => resolve());
      }),
  };
};

/** A line of an event file that is not an event. */
export interface TimelineFileError {
  readonly kind: 'timelineFileUnreadable' | 'timelineLineInvalid';
  readonly message: string;
}

const parseLine = (
  line: string,
  file: string,
  lineNumber: number,
): Result<TimelineEvent, TimelineFileError> =>
  Result.fromThrowable(
    () => timelineEventSchema.parse(JSON.parse(line)),
    (): TimelineFileError => ({
      kind: 'timelineLineInvalid',
      message: `${file}:${lineNumber} is not an event; remove the line or restore the file.`,
    }),
  )();

const readFile = (path: string): Result<string, TimelineFileError> =>
  Result.fromThrowable(
    () => readFileSync(path, 'utf8'),
    (): TimelineFileError => ({
      kind: 'timelineFileUnreadable',
      message: `${path} can't be read; check the path and its permissions.`,
    }),
  )();

/** Reads one event file. */
export const readTimelineFile = (path: string): Result<TimelineEvent[], TimelineFileError> =>
  readFile(path).andThen((text) => {
    const completeLines = text.slice(0, text.lastIndexOf('\n') + 1);
    const lines = completeLines.split('\n').filter((line) => line !== '');
    return Result.combine(lines.map((line, index) => parseLine(line, path, index + 1)));
  });

/** The event files in a folder, in order of name. */
export const listTimelineFiles = (folder: string): Result<string[], TimelineFileError> => {
  const fileNames = Result.fromThrowable(
    () => readdirSync(folder),
    () => undefined,
  )();
  if (fileNames.isErr()) {
    const message = `${folder} is not a readable folder; give the event folder of the settings.`;
    return err({ kind: 'timelineFileUnreadable', message });
  }
  const names = fileNames.value.filter((name) => name.endsWith(fileSuffix)).sort();
  return ok(names.map((name) => join(folder, name)));
};
