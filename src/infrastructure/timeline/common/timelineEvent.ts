/**
 * Events of the time line. Every process records what it decided; the stamps of a hybrid logical clock
 * let the streams of all processes be merged into one order that agrees with cause and effect.
 */
import { z } from 'zod';

export const stampSchema = z.object({
  /** Milliseconds since the Unix epoch, never less than that of any stamp seen before. */
  wall: z.number(),
  /** Orders stamps of equal wall time. */
  counter: z.number().int().nonnegative(),
});
export type Stamp = z.infer<typeof stampSchema>;

export const timelineEventSchema = z.object({
  stamp: stampSchema,
  /** Name of the process that recorded the event. */
  process: z.string(),
  kind: z.string(),
  /** What the event concerns: identifiers and figures by name. Never a key, prompt or answer. */
  subject: z.record(z.string(), z.union([z.string(), z.number(), z.boolean(), z.null()])),
});
export type TimelineEvent = z.infer<typeof timelineEventSchema>;

/** The subject of an event as the systems give it. */
export type EventSubject = TimelineEvent['subject'];

/** Orders events by stamp, then by process, so that every merge gives the same order. */
export const compareEvents = (first: TimelineEvent, second: TimelineEvent): number =>
  first.stamp.wall - second.stamp.wall ||
  first.stamp.counter - second.stamp.counter ||
  first.process.localeCompare(second.process);

/** Merges the events of several processes into one order. */
export const mergeTimelines = (streams: readonly (readonly TimelineEvent[])[]): TimelineEvent[] =>
  streams.flat().sort(compareEvents);

/** One event as a line of text. */
export const formatEvent = (event: TimelineEvent): string => {
  // eslint-disable-next-line no-restricted-syntax -- formats a given time, reads no clock
  const time = new Date(event.stamp.wall).toISOString();
  const subject = Object.entries(event.subject)
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');
  return `${time}.${event.stamp.counter} ${event.process} ${event.kind} ${subject}`;
};
