/**
 * Delays of messages between daemons on virtual time. Where a bandwidth is given, each link sends its
 * frames one after the other, so a large one delays those behind it and all arrive in order; without
 * one, size costs nothing.
 */
import type { Instant, Milliseconds } from '../../src/base/common/time.js';
import { encodeFrame } from '../../src/infrastructure/wire/node/frames.js';
import type { Message } from '../../src/service/messages/common/message.js';

export interface LinkDelaysOptions {
  /** One-way latency between two daemons, by name. */
  readonly latency: (from: string, to: string) => Milliseconds;
  /** Bytes per second of each link in each direction; undefined for no limit. */
  readonly bandwidth: number | undefined;
  readonly now: () => Instant;
}

export interface LinkDelays {
  /** Returns the time until a message that is sent now arrives. */
  readonly delayOf: (from: string, to: string, message: Message) => Milliseconds;
  /** Makes the links of a daemon that has stopped idle; what it has sent still arrives. */
  readonly forget: (name: string) => void;
}

const millisecondsPerSecond = 1_000;

const frameBytesOf = (message: Message): number =>
  encodeFrame(message).match(
    (frame) => frame.length,
    (error) => {
      throw new Error(`${message.kind} has no frame: ${error.message}`);
    },
  );

/** Creates links that are idle. */
export const createLinkDelays = ({ latency, bandwidth, now }: LinkDelaysOptions): LinkDelays => {
  /** Times at which the frames sent so far have left their link, by sender and receiver. */
  const sentUntil = new Map<string, Map<string, Instant>>();
  return {
    delayOf: (from, to, message) => {
      if (bandwidth === undefined) return latency(from, to);
      const untilByReceiver = sentUntil.get(from) ?? new Map<string, Instant>();
      sentUntil.set(from, untilByReceiver);
      const duration = (frameBytesOf(message) * millisecondsPerSecond) / bandwidth;
      const end = Math.max(now(), untilByReceiver.get(to) ?? 0) + duration;
      untilByReceiver.set(to, end);
      return Math.ceil(end - now()) + latency(from, to);
    },
    forget: (name) => {
      sentUntil.delete(name);
      sentUntil.forEach((untilByReceiver) => untilByReceiver.delete(name));
    },
  };
};
