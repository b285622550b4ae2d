/** Lists of chunks: the bytes are kept in order, and tiny chunks cost little more than their bytes. */
import { getHeapStatistics } from 'node:v8';
import test from 'ava';
import fc from 'fast-check';
import { createChunkList } from '../../node/chunkList.js';

const seed = 5;

test('the bytes of chunks of any size are joined in order', (t) => {
  const sizes = fc.array(fc.oneof(fc.nat(8), fc.nat(9_000), fc.nat(100_000)), { maxLength: 60 });
  fc.assert(
    fc.property(sizes, (lengths) => {
      const chunks = lengths.map((length, index) => Buffer.alloc(length, index + 1));
      const list = createChunkList();
      chunks.forEach((chunk) => list.add(chunk));
      t.true(list.join().equals(Buffer.concat(chunks)));
    }),
    { seed, numRuns: 100 },
  );
});

test('a list is not changed by a chunk whose memory is used again', (t) => {
  const list = createChunkList();
  const chunk = Buffer.from('abc');
  list.add(chunk);
  chunk.fill('x');
  t.is(list.join().toString(), 'abc');
});

const chunkCount = 1_600_000;
const readBytes = 64 * 1024;
/** A list of the chunks themselves takes some 250 bytes for each. */
const maximumHeapBytes = 100 * 1024 * 1024;

test('LOST: an answer in chunks of one byte takes no more memory than its bytes', (t) => {
  const list = createChunkList();
  const before = getHeapStatistics().used_heap_size;
  for (let start = 0; start < chunkCount; start += readBytes) {
    const read = Buffer.alloc(readBytes, 'x');
    for (let position = 0; position < readBytes; position += 1) {
      list.add(read.subarray(position, position + 1));
    }
  }
  t.true(getHeapStatistics().used_heap_size - before < maximumHeapBytes);
  t.true(list.join().length >= chunkCount);
});
