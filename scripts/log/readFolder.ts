/**
 * Reads the data folder of a store without a lock and without a change: the entries of the log as a
 * replay would leave them, and the bytes of everything else. A torn record at the end is left out.
 */
import { readdirSync, readFileSync, statSync } from 'node:fs';
import { join } from 'node:path';
import { encode } from 'cbor-x';
import { decodeRecords } from '../../src/infrastructure/storage/node/recordCodec.js';
import type { LogEntry } from '../../src/service/consensus/common/logEntry.js';

/** An entry and the bytes that it takes, without those of its record. */
export interface WeighedEntry {
  readonly entry: LogEntry;
  readonly bytes: number;
}

/** Bytes and their number of one kind. */
export interface Weight {
  readonly kind: string;
  readonly count: number;
  readonly bytes: number;
}

/** What a data folder holds. */
export interface FolderContents {
  /** By index; an index that was written again has its last entry. */
  readonly entries: readonly WeighedEntry[];
  /** Records of other kinds, entries that were written again, heads of records, and other files. */
  readonly others: readonly Weight[];
  /** Size of all files. */
  readonly bytes: number;
}

interface StoredRecord {
  readonly kind: string;
  readonly entries?: readonly LogEntry[];
}

const segmentPattern = /\.segment$/;

const weighRecords = (values: readonly StoredRecord[]) => {
  const entries = new Map<number, WeighedEntry>();
  const others = new Map<string, Weight>();
  const addOther = (kind: string, bytes: number): void => {
    const { count = 0, bytes: before = 0 } = others.get(kind) ?? {};
    others.set(kind, { kind, count: count + 1, bytes: before + bytes });
  };
  values.forEach((value) => {
    if (value.entries === undefined) addOther(`record ${value.kind}`, encode(value).length);
    value.entries?.forEach((entry) => {
      const replaced = entries.get(entry.index);
      if (replaced !== undefined) addOther('entries written again', replaced.bytes);
      entries.set(entry.index, { entry, bytes: encode(entry).length });
    });
  });
  return { entries: [...entries.values()], others: [...others.values()] };
};

/** Reads a data folder; throws if a segment is corrupt. */
export const readFolder = (folder: string): FolderContents => {
  const names = readdirSync(folder).filter((name) => statSync(join(folder, name)).isFile());
  const files = names.sort().map((name) => ({ name, content: readFileSync(join(folder, name)) }));
  const segments = files.filter(({ name }) => segmentPattern.test(name));
  const values = segments.flatMap(({ name, content }) => {
    const decoded = decodeRecords(content);
    if (decoded.isErr()) throw new Error(`${name}: ${decoded.error.message}`);
    return decoded.value.values as StoredRecord[];
  });
  const { entries, others } = weighRecords(values);
  const sumOf = (weights: readonly { readonly bytes: number }[]): number =>
    weights.reduce((sum, { bytes }) => sum + bytes, 0);
  const sizes = files.map(({ name, content }) => ({ name, bytes: content.length }));
  const segmentSizes = sizes.filter(({ name }) => segmentPattern.test(name));
  const heads = sumOf(segmentSizes) - sumOf(entries) - sumOf(others);
  const otherFiles = sizes
    .filter(({ name }) => !segmentPattern.test(name))
    .map(({ name, bytes }) => ({ kind: `file ${name}`, count: 1, bytes }));
  return {
    entries,
    others: [
      ...others,
      { kind: 'heads of records', count: values.length, bytes: heads },
      ...otherFiles,
    ],
    bytes: sumOf(sizes),
  };
};
