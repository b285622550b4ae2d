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
  readonly kind: 'frameTooLong' | 'frameNotCbor' | 'noFrameMemory';
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
  /** Received bytes of the frame that is not complete. */
  readonly pendingBytes: () => number;
}

/** Creates a decoder for one connection. Received bytes are joined once for each frame. */
export const createFrameDecoder = (): FrameDecoder => {
  let chunks: Buffer[] = [];
  let pendingBytes = 0;
  /** Bytes that have to be pending before a part of a frame can be read. */
  let neededBytes = lengthFieldBytes;

  const joinPending = (): Buffer => {
    const joined = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
    chunks = [joined];
    return joined;
  };

  const takeBody = (): Result<Buffer | undefined, FrameError> => {
    if (pendingBytes < neededBytes) return ok(undefined);
    const pending = joinPending();
    const length = pending.readUInt32BE(0);
    if (length > maximumFrameBytes) return err(createTooLongError(length));
    const frameBytes = lengthFieldBytes + length;
    neededBytes = frameBytes;
    if (pendingBytes < frameBytes) return ok(undefined);
    const rest = pending.subarray(frameBytes);
    chunks = rest.length === 0 ? [] : [rest];
    pendingBytes = rest.length;
    neededBytes = lengthFieldBytes;
    return ok(pending.subarray(lengthFieldBytes, frameBytes));
  };

  return {
    push: (bytes) => {
      chunks.push(bytes);
      pendingBytes += bytes.length;
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
    pendingBytes: () => pendingBytes,
  };
};
