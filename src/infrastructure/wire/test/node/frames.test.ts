/** Frames: values come out as they went in, however the bytes are cut, and bad bytes are typed errors. */
import test from 'ava';
import fc from 'fast-check';
import { createFrameDecoder, encodeFrame, maximumFrameBytes } from '../../node/frames.js';

const seed = 7;

test('values survive any cut of the bytes', (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.record({ name: fc.string(), count: fc.integer() }), { maxLength: 8 }),
      fc.integer({ min: 1, max: 9 }),
      (values, step) => {
        const bytes = Buffer.concat(values.map(encodeFrame));
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

test('a frame over the limit is refused before its body has come', (t) => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(maximumFrameBytes + 1);
  t.is(createFrameDecoder().push(header)._unsafeUnwrapErr().kind, 'frameTooLong');
});

test('a body that is not CBOR is refused', (t) => {
  const frame = Buffer.from([0, 0, 0, 2, 0x1c, 0xff]);
  t.is(createFrameDecoder().push(frame)._unsafeUnwrapErr().kind, 'frameNotCbor');
});
