/**
 * Reads the log files of processes as timeline events. A line may have a prefix before its JSON, as
 * log collectors add one; lines without an event are skipped and counted. Files may be compressed
 * with gzip.
 */
import { readFileSync } from 'node:fs';
import { gunzipSync } from 'node:zlib';
import { Result } from 'neverthrow';
import * as z from 'zod';
import type { TimelineEvent } from '../../timeline/common/timelineEvent.js';

/** A log line that records an event; all other columns form the subject of the event. */
const logLineSchema = z
  .object({
    /** Wall clock of the VM, in milliseconds since the Unix epoch. */
    time: z.number(),
    /** Name of the VM. */
    hostname: z.string(),
    event: z.string(),
  })
  .catchall(z.union([z.string(), z.number(), z.boolean(), z.null()]));

/** Columns that describe the origin of a line and are not part of the subject of the event. */
const envelopeColumns: ReadonlySet<string> = new Set([
  'time',
  'hostname',
  'event',
  'level',
  'pid',
  'name',
]);

/** The decoded content of a log file. */
export interface LogFile {
  readonly events: readonly TimelineEvent[];
  /** Number of lines without an event. */
  readonly skippedLineCount: number;
}

export interface LogFileError {
  readonly kind: 'logFileUnreadable';
  /** Describes the cause and the remedy. */
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
      message: `The log file ${path} cannot be read; check the path and the permissions, and that the file is complete.`,
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

/** Reads one log file; files whose name ends in `.gz` are decompressed. */
export const readLogFile = (path: string): Result<LogFile, LogFileError> =>
  readText(path).map((text) => {
    const lines = text.split('\n').filter((line) => line.trim() !== '');
    const events = lines.map(parseLine).filter((event) => event !== undefined);
    return { events, skippedLineCount: lines.length - events.length };
  });
