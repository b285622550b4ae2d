/**
 * Timeline events, in which each process records its decisions. Stamps of a hybrid logical clock
 * allow merging the events of all processes into one order that is consistent with causality.
 */
import * as z from 'zod';

export const stampSchema = z.object({
  /** Milliseconds since the Unix epoch; not less than that of any previously seen stamp. */
  wall: z.number(),
  /** Orders stamps with equal wall time. */
  counter: z.number().int().nonnegative(),
});
export type Stamp = z.infer<typeof stampSchema>;

export const timelineEventSchema = z.object({
  stamp: stampSchema,
  /** Name of the process that recorded the event. */
  process: z.string(),
  kind: z.string(),
  /** Identifiers and values of the event, by name. Must not contain keys, prompts or answers. */
  subject: z.record(z.string(), z.union([z.string(), z.number(), z.boolean(), z.null()])),
});
export type TimelineEvent = z.infer<typeof timelineEventSchema>;

/** The subject of an event. */
export type EventSubject = TimelineEvent['subject'];

/** Compares events by stamp, then by process, so that merging is deterministic. */
export const compareEvents = (first: TimelineEvent, second: TimelineEvent): number =>
  first.stamp.wall - second.stamp.wall ||
  first.stamp.counter - second.stamp.counter ||
  first.process.localeCompare(second.process);

/** Merges the events of several processes into one ordered list. */
export const mergeTimelines = (streams: readonly (readonly TimelineEvent[])[]): TimelineEvent[] =>
  streams.flat().sort(compareEvents);

/** Formats an event as one line of text. */
export const formatEvent = (event: TimelineEvent): string => {
  // eslint-disable-next-line no-restricted-syntax -- formats a given time and does not read a clock
  const time = new Date(event.stamp.wall).toISOString();
  const subject = Object.entries(event.subject)
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');
  return `${time}.${event.stamp.counter} ${event.process} ${event.kind} ${subject}`;
};
