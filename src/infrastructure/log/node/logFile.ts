/**
 * Log files of processes, read back as events. A line may have text before its JSON, as collectors of logs
 * put there; lines that hold no event are counted and left out. Files may be compressed by gzip.
 */
import { readFileSync } from 'node:fs';
import { gunzipSync } from 'node:zlib';
import { Result } from 'neverthrow';
import { z } from 'zod';
import type { TimelineEvent } from '../../timeline/common/timelineEvent.js';

/** A line of the log that records an event; the other columns are its subject. */
const logLineSchema = z
  .object({
    /** Wall clock of the VM, in milliseconds since the Unix epoch. */
    time: z.number(),
    /** Name of the VM. */
    hostname: z.string(),
    event: z.string(),
  })
  .catchall(z.union([z.string(), z.number(), z.boolean(), z.null()]));

/** Columns of a line that say where it comes from, and not what it is about. */
const envelopeColumns: ReadonlySet<string> = new Set([
  'time',
  'hostname',
  'event',
  'level',
  'pid',
  'name',
]);

/** What a file holds. */
export interface LogFile {
  readonly events: readonly TimelineEvent[];
  /** Lines that are no events. */
  readonly skippedLineCount: number;
}

export interface LogFileError {
  readonly kind: 'logFileUnreadable';
  /** Names the remedy. */
  readonly message: string;
}

const gzipSuffix = '.gz';

const readText = (path: string): Result<string, LogFileError> =>
  Result.fromThrowable(
    () => {
      const bytes = readFileSync(path);
      return (path.endsWith(gzipSuffix) ? gunzipSync(bytes) : bytes).toString('utf8');
    },
    (): LogFileError => ({
      kind: 'logFileUnreadable',
      message: `${path} can't be read as a log file; check the path, its permissions and that it is whole.`,
    }),
  )();

const parseJson = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  () => undefined,
);

const parseLine = (line: string, lineIndex: number): TimelineEvent | undefined => {
  const start = line.indexOf('{');
  const value = start < 0 ? undefined : parseJson(line.slice(start)).unwrapOr(undefined);
  const parsed = logLineSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const { time, hostname, event } = parsed.data;
  const subject = Object.fromEntries(
    Object.entries(parsed.data).filter(([column]) => !envelopeColumns.has(column)),
  );
  return { stamp: { wall: time, counter: lineIndex }, process: hostname, kind: event, subject };
};

/** Reads one log file. */
export const readLogFile = (path: string): Result<LogFile, LogFileError> =>
  readText(path).map((text) => {
    const lines = text.split('\n').filter((line) => line.trim() !== '');
    const events = lines.map(parseLine).filter((event) => event !== undefined);
    return { events, skippedLineCount: lines.length - events.length };
  });
