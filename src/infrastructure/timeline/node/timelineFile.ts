/**
 * Timeline event files: one file per process, one JSON object per line. Writing is asynchronous and
 * does not wait for the disk. Reading ignores an incomplete last line; any other invalid line is an
 * error.
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

/** Opens the event file of a process for appending; the folder is created if necessary. */
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

/** An event file or folder that cannot be read, or a line that is not an event. */
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
      message: `Line ${file}:${lineNumber} is not a timeline event; remove the line or restore the file.`,
    }),
  )();

const readFile = (path: string): Result<string, TimelineFileError> =>
  Result.fromThrowable(
    () => readFileSync(path, 'utf8'),
    (): TimelineFileError => ({
      kind: 'timelineFileUnreadable',
      message: `The event file ${path} cannot be read; check the path and its permissions.`,
    }),
  )();

/** Reads one event file. */
export const readTimelineFile = (path: string): Result<TimelineEvent[], TimelineFileError> =>
  readFile(path).andThen((text) => {
    const completeLines = text.slice(0, text.lastIndexOf('\n') + 1);
    const lines = completeLines.split('\n').filter((line) => line !== '');
    return Result.combine(lines.map((line, index) => parseLine(line, path, index + 1)));
  });

/** Returns the paths of the event files in a folder, sorted by name. */
export const listTimelineFiles = (folder: string): Result<string[], TimelineFileError> => {
  const fileNames = Result.fromThrowable(
    () => readdirSync(folder),
    () => undefined,
  )();
  if (fileNames.isErr()) {
    const message = `The folder ${folder} cannot be read; specify the event folder of the settings.`;
    return err({ kind: 'timelineFileUnreadable', message });
  }
  const names = fileNames.value.filter((name) => name.endsWith(fileSuffix)).sort();
  return ok(names.map((name) => join(folder, name)));
};
