/**
 * Writes base files, each of which stands for all segments with lower numbers. A base takes its name
 * only when it is complete and synced, so a folder has either the old records or the new ones.
 */
import type { SegmentFiles } from './segmentFiles.js';
import {
  basePath,
  encodeBaseEnd,
  removeObsoleteFiles,
  unfinishedBasePath,
} from './segmentFolder.js';

/**
 * Size from which records of a base are written together. They are encoded and written in turn, so
 * it bounds the memory, and the time for which ticks wait for the encoding (a few milliseconds).
 */
const baseChunkBytes = 1024 * 1024;

/** Joins the records of a base, and its end, to chunks. */
function* createBaseChunks(records: Iterable<Buffer>): Generator<Buffer, void, undefined> {
  let chunk: Buffer[] = [];
  let chunkBytes = 0;
  let recordCount = 0;
  for (const record of records) {
    chunk.push(record);
    chunkBytes += record.length;
    recordCount += 1;
    if (chunkBytes >= baseChunkBytes) {
      yield Buffer.concat(chunk);
      chunk = [];
      chunkBytes = 0;
    }
  }
  yield Buffer.concat([...chunk, encodeBaseEnd(recordCount)]);
}

/** Writes and syncs a base under a name that opening a folder ignores. */
const writeUnfinishedBase = async (
  folder: string,
  records: Iterable<Buffer>,
  files: SegmentFiles,
): Promise<void> => {
  const handle = await files.openFile(unfinishedBasePath(folder), 'a');
  try {
    // What a failed replacement could not remove.
    await handle.truncate(0);
    for (const chunk of createBaseChunks(records)) {
      // eslint-disable-next-line no-await-in-loop -- the event loop runs between chunks
      await handle.appendFile(chunk);
    }
    await handle.sync();
  } finally {
    await handle.close();
  }
};

/**
 * Writes a base and gives it a name. `findNumber` is called once it is written, and returns its number
 * once the segment of that number exists. That segment holds only what is not in the base, so that
 * it follows the base, and also follows the old segments if the name is lost with the power. The
 * first segment has no base: an earlier release, which ignores bases, must find a segment missing.
 */
export const writeBase = async (
  folder: string,
  records: Iterable<Buffer>,
  findNumber: () => Promise<number>,
  files: SegmentFiles,
): Promise<void> => {
  let baseNumber: number;
  try {
    await writeUnfinishedBase(folder, records, files);
    baseNumber = await findNumber();
    await files.renameFile(unfinishedBasePath(folder), basePath(folder, baseNumber));
    await files.syncFolder(folder);
  } catch (error) {
    // Appends need its space. If that fails too, the next replacement or start removes it.
    await files.removeFile(unfinishedBasePath(folder)).catch(() => {});
    throw error;
  }
  await removeObsoleteFiles(folder, baseNumber, files);
};
