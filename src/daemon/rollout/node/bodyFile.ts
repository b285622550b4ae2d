/**
 * One file of bodies: the bodies of one lot, appended and synced. Each record is a line of JSON with the
 * checksum of its content; a record that is not whole is what a crash has cut off, and ends the file.
 */
import { createHash } from 'node:crypto';
import { open, rm, type FileHandle } from 'node:fs/promises';
import { z } from 'zod';
import { Result } from 'neverthrow';
import type { BodyId } from '../../../service/world/common/identifiers.js';
import type { StoredBody } from '../common/bodyStore.js';

const recordSchema = z.object({ body: z.string(), checksum: z.string(), content: z.string() });
type BodyRecord = z.infer<typeof recordSchema>;

const newline = 0x0a;

/** Where a record stands in its file, in bytes. */
interface RecordPlace {
  readonly offset: number;
  readonly length: number;
}

/** An open file of bodies. */
export interface BodyFile {
  /** Appends the bodies that the file lacks and syncs; rejects with the error of the system. */
  readonly append: (bodies: readonly StoredBody[]) => Promise<void>;
  /** The content, or undefined where the file lacks it or its checksum is wrong. */
  readonly read: (body: BodyId) => Promise<string | undefined>;
  /** Closes the file and removes it. */
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

/** Reads the whole records from the start; returns where the first broken one begins. */
const scan = (bytes: Buffer, places: Map<string, RecordPlace>): number => {
  let offset = 0;
  for (let end = bytes.indexOf(newline); end !== -1; end = bytes.indexOf(newline, offset)) {
    const record = decodeRecord(bytes.subarray(offset, end));
    if (record === undefined) return offset;
    places.set(record.body, { offset, length: end - offset });
    offset = end + 1;
  }
  return offset;
};

const readPlace = async (file: FileHandle, place: RecordPlace): Promise<Buffer> => {
  const bytes = Buffer.allocUnsafe(place.length);
  const { bytesRead } = await file.read(bytes, 0, place.length, place.offset);
  return bytes.subarray(0, bytesRead);
};

/** Opens a file, reads what it has, and cuts off a record that is not whole. */
export const openBodyFile = async (path: string): Promise<BodyFile> => {
  const file = await open(path, 'a+');
  const places = new Map<string, RecordPlace>();
  let size = scan(await file.readFile(), places);
  await file.truncate(size);

  return {
    append: async (bodies) => {
      const missing = bodies.filter(({ body }) => !places.has(body));
      if (missing.length === 0) return;
      const records = missing.map(encodeRecord);
      const start = size;
      try {
        await file.appendFile(Buffer.concat(records));
        await file.datasync();
      } catch (error) {
        await file.truncate(start);
        throw error;
      }
      missing.forEach(({ body }, index) => {
        const { length } = records[index]!;
        places.set(body, { offset: size, length: length - 1 });
        size += length;
      });
    },
    read: async (body) => {
      const place = places.get(body);
      return place === undefined ? undefined : decodeRecord(await readPlace(file, place))?.content;
    },
    remove: async () => {
      await file.close();
      await rm(path, { force: true });
    },
    close: () => file.close(),
  };
};
