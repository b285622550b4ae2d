/**
 * The framing of messages between daemons over TCP: a length of 4 bytes, big endian, then a CBOR
 * value. A frame that exceeds the limit or is not CBOR is an error, after which the connection must
 * be closed.
 */
import { decode, encode } from 'cbor-x';
import { err, ok, Result } from 'neverthrow';
import { maximumFrameBytes } from '../common/frameLimits.js';

const lengthFieldBytes = 4;

export interface FrameError {
  readonly kind: 'frameTooLong' | 'frameNotCbor';
  readonly message: string;
}

const createTooLongError = (length: number): FrameError => ({
  kind: 'frameTooLong',
  message: `A frame of ${length} bytes exceeds the limit of ${maximumFrameBytes}; send smaller messages.`,
});

/** Encodes a value as a frame; fails if the receiver would refuse it. */
export const encodeFrame = (value: unknown): Result<Buffer, FrameError> => {
  const body = encode(value);
  if (body.length > maximumFrameBytes) return err(createTooLongError(body.length));
  const frame = Buffer.allocUnsafe(lengthFieldBytes + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, lengthFieldBytes);
  return ok(frame);
};

const decodeBody = (body: Buffer): Result<unknown, FrameError> =>
  Result.fromThrowable(
    () => decode(body) as unknown,
    (): FrameError => ({
      kind: 'frameNotCbor',
      message: 'A frame is not valid CBOR; check that both daemons run the same release.',
    }),
  )();

/** Buffers received bytes and returns the values of the frames that are complete. */
export interface FrameDecoder {
  readonly push: (bytes: Buffer) => Result<unknown[], FrameError>;
}

/** Creates a decoder for one connection. */
export const createFrameDecoder = (): FrameDecoder => {
  let pending: Buffer = Buffer.alloc(0);

  const takeBody = (): Result<Buffer | undefined, FrameError> => {
    if (pending.length < lengthFieldBytes) return ok(undefined);
    const length = pending.readUInt32BE(0);
    if (length > maximumFrameBytes) return err(createTooLongError(length));
    if (pending.length < lengthFieldBytes + length) return ok(undefined);
    const body = pending.subarray(lengthFieldBytes, lengthFieldBytes + length);
    pending = pending.subarray(lengthFieldBytes + length);
    return ok(body);
  };

  return {
    push: (bytes) => {
      pending = pending.length === 0 ? bytes : Buffer.concat([pending, bytes]);
      const values: unknown[] = [];
      for (;;) {
        const body = takeBody();
        if (body.isErr()) return err(body.error);
        if (body.value === undefined) return ok(values);
        const value = decodeBody(body.value);
        if (value.isErr()) return err(value.error);
        values.push(value.value);
      }
    },
  };
};
