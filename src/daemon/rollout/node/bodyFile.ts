/**
 * File with the bodies of one lot, appended and synced. Each record is a line of JSON with a
 * checksum of its content. A crash can leave an incomplete record; the file ends before the first
 * invalid record.
 */
import { createHash } from 'node:crypto';
import { open, rm, type FileHandle } from 'node:fs/promises';
import * as z from 'zod';
import { Result } from 'neverthrow';
import { asBrand } from '../../../base/common/brand.js';
import type { BodyId } from '../../../service/world/common/identifiers.js';
import type { StoredBody } from '../common/bodyStore.js';

const recordSchema = z.object({ body: z.string(), checksum: z.string(), content: z.string() });
type BodyRecord = z.infer<typeof recordSchema>;

const newline = 0x0a;

/** Location of a record in its file, in bytes. */
interface RecordLocation {
  readonly offset: number;
  readonly length: number;
}

/** An open body file. */
export interface BodyFile {
  /** Appends bodies that are not in the file and syncs; rejects with the file system error. */
  readonly append: (bodies: readonly StoredBody[]) => Promise<void>;
  /** Returns the content; undefined if it is missing or its checksum does not match. */
  readonly read: (body: BodyId) => Promise<string | undefined>;
  /** Returns all bodies that can be read. */
  readonly readAll: () => Promise<readonly Omit<StoredBody, 'lot'>[]>;
  /** Closes and deletes the file. */
  readonly remove: () => Promise<void>;
  readonly close: () => Promise<void>;
}

const checksumOf = (content: string): string => createHash('sha256').update(content).digest('hex');

const encodeRecord = ({ body, content }: StoredBody): Buffer =>
  Buffer.from(`${JSON.stringify({ body, checksum: checksumOf(content), content })}\n`);

const parseRecord = Result.fromThrowable(
  (line: string): BodyRecord => recordSchema.parse(JSON.parse(line)),
  () => undefined,
);

const decodeRecord = (line: Buffer): BodyRecord | undefined => {
  const record = parseRecord(line.toString('utf8')).unwrapOr(undefined);
  return record?.checksum === checksumOf(record?.content ?? '') ? record : undefined;
};

/** Scans valid records from the start; returns the offset of the first invalid record. */
const scanRecords = (bytes: Buffer, locations: Map<string, RecordLocation>): number => {
  let offset = 0;
  for (let end = bytes.indexOf(newline); end !== -1; end = bytes.indexOf(newline, offset)) {
    const record = decodeRecord(bytes.subarray(offset, end));
    if (record === undefined) return offset;
    locations.set(record.body, { offset, length: end - offset });
    offset = end + 1;
  }
  return offset;
};

const readRecord = async (file: FileHandle, location: RecordLocation): Promise<Buffer> => {
  const bytes = Buffer.allocUnsafe(location.length);
  const { bytesRead } = await file.read(bytes, 0, location.length, location.offset);
  return bytes.subarray(0, bytesRead);
};

/** Opens a file, indexes its records and truncates it before the first invalid record. */
export const openBodyFile = async (path: string): Promise<BodyFile> => {
  const file = await open(path, 'a+');
  const locations = new Map<string, RecordLocation>();
  let size = scanRecords(await file.readFile(), locations);
  await file.truncate(size);

  return {
    append: async (bodies) => {
      const newBodies = bodies.filter(({ body }) => !locations.has(body));
      if (newBodies.length === 0) return;
      const records = newBodies.map(encodeRecord);
      const start = size;
      try {
        await file.appendFile(Buffer.concat(records));
        await file.datasync();
      } catch (error) {
        await file.truncate(start);
        throw error;
      }
      newBodies.forEach(({ body }, index) => {
        const { length } = records[index]!;
        locations.set(body, { offset: size, length: length - 1 });
        size += length;
      });
    },
    read: async (body) => {
      const location = locations.get(body);
      return location === undefined
        ? undefined
        : decodeRecord(await readRecord(file, location))?.content;
    },
    readAll: async () => {
      const records = await Promise.all(
        [...locations.values()].map((location) => readRecord(file, location)),
      );
      return records
        .map(decodeRecord)
        .filter((record) => record !== undefined)
        .map(({ body, content }) => ({ body: asBrand<BodyId>(body), content }));
    },
    remove: async () => {
      await file.close();
      await rm(path, { force: true });
    },
    close: () => file.close(),
  };
};
