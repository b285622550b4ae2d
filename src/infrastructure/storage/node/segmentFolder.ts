/**
 * Names and contents of the files in a data folder. Segments are numbered from 1, and records are
 * appended to the last one. A base stands for all segments with lower numbers than its own: the
 * records of the folder are those of the base with the highest number, and of the segments from that
 * number on. Files with lower numbers remain only if a replacement was interrupted.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { err, ok, Result } from 'neverthrow';
import type { ValueOf } from '../../../base/common/handlers.js';
import { createStorageError, StorageErrorKind, type StorageError } from '../common/storageError.js';
import { decodeRecords, encodeRecord } from './recordCodec.js';
import type { SegmentFiles } from './segmentFiles.js';

const FileKind = { Segment: 'segment', Base: 'base' } as const;
type FileKind = ValueOf<typeof FileKind>;

const namePattern = /^log-(\d{8})\.(segment|base)$/;
const numberDigits = 8;

/** Number of the first segment of a folder. */
export const firstSegmentNumber = 1;

/** A base that is not complete; it has one name, so that the next one overwrites what is left. */
const unfinishedBaseName = 'log-base.unfinished';

const pathOf = (folder: string, kind: FileKind, number: number): string =>
  join(folder, `log-${String(number).padStart(numberDigits, '0')}.${kind}`);

export const segmentPath = (folder: string, number: number): string =>
  pathOf(folder, FileKind.Segment, number);

export const basePath = (folder: string, number: number): string =>
  pathOf(folder, FileKind.Base, number);

export const unfinishedBasePath = (folder: string): string => join(folder, unfinishedBaseName);

interface NumberedFile {
  readonly kind: FileKind;
  readonly number: number;
}

const findFiles = (folder: string): readonly NumberedFile[] =>
  readdirSync(folder)
    .map((name) => namePattern.exec(name))
    .filter((match) => match !== null)
    .map(([, digits, kind]) => ({ kind: kind as FileKind, number: Number(digits) }))
    .sort((first, second) => first.number - second.number);

const numbersOf = (files: readonly NumberedFile[], kind: FileKind): readonly number[] =>
  files.filter((file) => file.kind === kind).map(({ number }) => number);

/**
 * Removes the files that a base stands for, from the lowest number on: so an earlier release, which
 * knows no bases, finds a missing segment and not a shorter log. The base must be durable. Files that
 * cannot be removed only take space, and the next replacement or start tries again.
 */
export const removeObsoleteFiles = async (
  folder: string,
  baseNumber: number,
  files: SegmentFiles,
): Promise<void> => {
  const obsolete = findFiles(folder)
    .filter(({ number }) => number < baseNumber)
    .map(({ kind, number }) => pathOf(folder, kind, number));
  for (const path of [unfinishedBasePath(folder), ...obsolete]) {
    // eslint-disable-next-line no-await-in-loop -- in the order of their numbers
    await files.removeFile(path).catch(() => {});
  }
};

/**
 * The last record of a base. A base that lost its end at the limit of a record would otherwise be
 * read as a smaller state.
 */
export const encodeBaseEnd = (recordCount: number): Buffer =>
  encodeRecord({ kind: 'baseEnd', recordCount });

const isBaseEnd = (value: unknown, recordCount: number): boolean => {
  const { kind, recordCount: recorded } = (value ?? {}) as Record<string, unknown>;
  return kind === 'baseEnd' && recorded === recordCount;
};

interface ReadFile {
  readonly path: string;
  readonly values: readonly unknown[];
  readonly validBytes: number;
  readonly bytes: number;
}

const isComplete = ({ validBytes, bytes }: ReadFile): boolean => validBytes === bytes;

const readFile = (path: string): Result<ReadFile, StorageError> => {
  const bytes = readFileSync(path);
  return decodeRecords(bytes)
    .map((read) => ({ ...read, path, bytes: bytes.length }))
    .mapErr((error) => ({ ...error, message: `${path}: ${error.message}` }));
};

/** A base is renamed only once it is synced, so that one without its end is damaged. */
const readBase = (path: string): Result<readonly unknown[], StorageError> =>
  readFile(path).andThen((read) => {
    const records = read.values.slice(0, -1);
    if (isComplete(read) && isBaseEnd(read.values.at(-1), records.length)) return ok(records);
    const detail = `The base file ${path} has lost its end.`;
    return err(createStorageError(StorageErrorKind.Corrupt, detail));
  });

/**
 * Position of the segment to which records were appended last. A next one that is empty may exist: it
 * could not be synced, and the log went on without it.
 */
const findLastPosition = (segments: readonly ReadFile[]): number =>
  Math.max(
    0,
    segments.findLastIndex(({ bytes }) => bytes > 0),
  );

const checkComplete = (
  segments: readonly ReadFile[],
): Result<readonly ReadFile[], StorageError> => {
  const torn = segments.slice(0, findLastPosition(segments)).find((read) => !isComplete(read));
  if (torn === undefined) return ok(segments);
  const detail = `The segment file ${torn.path} ends inside a record but is not the last segment.`;
  return err(createStorageError(StorageErrorKind.Corrupt, detail));
};

/** Checks that the segments have no gap; the one with the number of a base exists before the base. */
const checkNumbers = (
  folder: string,
  numbers: readonly number[],
  baseNumber: number | undefined,
): Result<readonly number[], StorageError> => {
  const first = baseNumber ?? firstSegmentNumber;
  const expected = baseNumber !== undefined && numbers.length === 0 ? [first] : numbers;
  const missing = expected.findIndex((_, position) => numbers[position] !== first + position);
  if (missing < 0) return ok(numbers);
  const detail = `The segment file ${segmentPath(folder, first + missing)} is missing.`;
  return err(createStorageError(StorageErrorKind.SegmentMissing, detail));
};

/** The records of a folder. */
export interface FolderContents {
  readonly values: readonly unknown[];
  /** Number of its base; undefined if it has none. */
  readonly baseNumber: number | undefined;
  /** Number of the segment to append to. */
  readonly lastNumber: number;
  /** Size of the complete records of that segment. */
  readonly lastBytes: number;
}

/** Reads the records of a folder, without changing it. */
export const readFolder = (folder: string): Result<FolderContents, StorageError> => {
  const files = findFiles(folder);
  const baseNumber = numbersOf(files, FileKind.Base).at(-1);
  const firstNumber = baseNumber ?? firstSegmentNumber;
  const current = numbersOf(files, FileKind.Segment).filter((number) => number >= firstNumber);
  const base: Result<readonly unknown[], StorageError> =
    baseNumber === undefined ? ok([]) : readBase(basePath(folder, baseNumber));
  return checkNumbers(folder, current, baseNumber)
    .andThen((numbers) => Result.combine(numbers.map((at) => readFile(segmentPath(folder, at)))))
    .andThen(checkComplete)
    .andThen((segments) =>
      base.map((baseValues) => ({
        values: [...baseValues, ...segments.flatMap(({ values }) => values)],
        baseNumber,
        lastNumber: firstNumber + findLastPosition(segments),
        lastBytes: segments[findLastPosition(segments)]?.validBytes ?? 0,
      })),
    );
};
