/**
 * Divides the memory for request bodies among the requests of a process. Answers the load of callers
 * that send many large bodies at once, send them slowly or stop in the middle: the bytes of all bodies
 * together are bounded, small bodies find room beside large ones, and a body that hardly arrives gives
 * way to one that does.
 */
import type { Instant, Milliseconds } from '../../../base/common/time.js';

/** A body up to this size can use the memory that large ones must leave free. */
export const smallBodyBytes = 64 * 1024;

/** Fraction of the memory that only small bodies can use. */
const smallBodyFraction = 0.2;

/** A body is slow if it did not bring `paceBytes`, or its end, within this time. */
const paceMilliseconds: Milliseconds = 1_000;
const paceBytes = 64 * 1024;

/** The part of the memory that the body of one request holds. */
export interface BodyShare {
  /** Takes memory for bytes that arrive; false if the body has to be refused. */
  readonly take: (bytes: number, now: Instant) => boolean;
  /** The body is whole; it no longer gives way to others. */
  readonly complete: () => void;
  /** Gives back all of its memory. */
  readonly release: () => void;
}

export interface BodyMemory {
  /** `onDidGiveWay` is called at most once, when the share was released for another body. */
  readonly open: (onDidGiveWay: () => void, now: Instant) => BodyShare;
  readonly heldBytes: () => number;
  readonly maximumBytes: number;
}

interface HeldBody {
  bytes: number;
  isComplete: boolean;
  /** Number of bytes, and the time, at which it last was on pace. */
  pacedBytes: number;
  pacedAt: Instant;
  readonly onDidGiveWay: () => void;
}

const isSlow = ({ isComplete, pacedAt }: HeldBody, now: Instant): boolean =>
  !isComplete && now - pacedAt > paceMilliseconds;

/** Returns the slow bodies, the slowest first, that together hold at least `bytes`; or none. */
const selectGivingWay = (
  bodies: readonly HeldBody[],
  bytes: number,
  now: Instant,
): readonly HeldBody[] => {
  const slow = bodies
    .filter((body) => isSlow(body, now))
    .sort((first, second) => first.pacedAt - second.pacedAt);
  let freed = 0;
  const count = slow.findIndex((body) => {
    freed += body.bytes;
    return freed >= bytes;
  });
  return slow.slice(0, count + 1);
};

/** Creates the memory of a process. */
export const createBodyMemory = (maximumBytes: number): BodyMemory => {
  const bodies = new Set<HeldBody>();
  const maximumOfLargeBodies = maximumBytes * (1 - smallBodyFraction);
  let heldBytes = 0;

  const release = (body: HeldBody): void => {
    if (bodies.delete(body)) heldBytes -= body.bytes;
  };

  const giveWay = (body: HeldBody): void => {
    release(body);
    body.onDidGiveWay();
  };

  const limitOf = (bytes: number): number =>
    bytes <= smallBodyBytes ? maximumBytes : maximumOfLargeBodies;

  const take = (body: HeldBody, bytes: number, now: Instant): boolean => {
    if (!bodies.has(body)) return false;
    const missing = heldBytes + bytes - limitOf(body.bytes + bytes);
    if (missing > 0) {
      const others = [...bodies].filter((other) => other !== body);
      selectGivingWay(others, missing, now).forEach(giveWay);
    }
    if (heldBytes + bytes > limitOf(body.bytes + bytes)) return false;
    heldBytes += bytes;
    Object.assign(body, { bytes: body.bytes + bytes });
    if (body.bytes - body.pacedBytes >= paceBytes)
      Object.assign(body, { pacedBytes: body.bytes, pacedAt: now });
    return true;
  };

  return {
    open: (onDidGiveWay, now) => {
      const body: HeldBody = {
        bytes: 0,
        isComplete: false,
        pacedBytes: 0,
        pacedAt: now,
        onDidGiveWay,
      };
      bodies.add(body);
      return {
        take: (bytes, takenAt) => take(body, bytes, takenAt),
        complete: () => Object.assign(body, { isComplete: true }),
        release: () => release(body),
      };
    },
    heldBytes: () => heldBytes,
    maximumBytes,
  };
};
