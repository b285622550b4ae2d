/** Frames: values survive any fragmentation of the bytes, and invalid bytes are typed errors. */
import test from 'ava';
import fc from 'fast-check';
import { maximumFrameBytes } from '../../common/frameLimits.js';
import { createFrameDecoder, encodeFrame } from '../../node/frames.js';

const seed = 7;

test('values are decoded for any fragmentation of the bytes', (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.record({ name: fc.string(), count: fc.integer() }), { maxLength: 8 }),
      fc.integer({ min: 1, max: 9 }),
      (values, step) => {
        const bytes = Buffer.concat(values.map((value) => encodeFrame(value)._unsafeUnwrap()));
        const decoder = createFrameDecoder();
        const decoded: unknown[] = [];
        for (let start = 0; start < bytes.length; start += step) {
          const part = decoder.push(bytes.subarray(start, start + step));
          decoded.push(...part._unsafeUnwrap());
        }
        t.deepEqual(decoded, values);
      },
    ),
    { seed, numRuns: 200 },
  );
});

test('a frame over the limit is an error before its body is received', (t) => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(maximumFrameBytes + 1);
  t.is(createFrameDecoder().push(header)._unsafeUnwrapErr().kind, 'frameTooLong');
});

test('a body that is not CBOR is an error', (t) => {
  const frame = Buffer.from([0, 0, 0, 2, 0x1c, 0xff]);
  t.is(createFrameDecoder().push(frame)._unsafeUnwrapErr().kind, 'frameNotCbor');
});

/** A frame that arrives in this many pieces is joined once; joined with each piece it took seconds. */
const pieceBytes = 16 * 1024;
const longTextBytes = 32 * 1024 * 1024;
const maximumDecodingMilliseconds = 1_000;

test('a long frame in many pieces is decoded in a time that grows with its length only', (t) => {
  const text = 'x'.repeat(longTextBytes);
  const frame = encodeFrame(text)._unsafeUnwrap();
  const decoder = createFrameDecoder();
  const startedAt = performance.now();
  const values: unknown[] = [];
  for (let start = 0; start < frame.length; start += pieceBytes) {
    values.push(...decoder.push(frame.subarray(start, start + pieceBytes))._unsafeUnwrap());
  }
  t.true(performance.now() - startedAt < maximumDecodingMilliseconds);
  t.deepEqual(values, [text]);
});
