/**
 * The framing of messages between daemons over TCP: a length of 4 bytes, big endian, then a CBOR
 * value. A frame that exceeds the limit or is not CBOR is an error, after which the connection must
 * be closed.
 */
import { decode, encode } from 'cbor-x';
import { err, ok, Result } from 'neverthrow';

const lengthFieldBytes = 4;

/** Maximum frame size in bytes: twice a declaration with the maximum body size of 32 MiB. */
export const maximumFrameBytes = 64 * 1024 * 1024;

export interface FrameError {
  readonly kind: 'frameTooLong' | 'frameNotCbor';
  readonly message: string;
}

/** Encodes a value as a frame. */
export const encodeFrame = (value: unknown): Buffer => {
  const body = encode(value);
  const frame = Buffer.allocUnsafe(lengthFieldBytes + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, lengthFieldBytes);
  return frame;
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
    if (length > maximumFrameBytes) {
      const message = `A frame of ${length} bytes exceeds the limit of ${maximumFrameBytes}; send smaller messages.`;
      return err({ kind: 'frameTooLong', message });
    }
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
