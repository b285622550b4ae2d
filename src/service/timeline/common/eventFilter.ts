/**
 * Filters timeline events by request, sample, upstream, revision, kind, process, or any text of the
 * subject. The filters for requests and samples include events that contain only the related
 * attempt.
 */
import type { TimelineEvent } from '../../../infrastructure/timeline/common/timelineEvent.js';

/** Values that events must have; absent members match every event. */
export interface EventFilter {
  readonly request?: string | undefined;
  readonly sample?: string | undefined;
  readonly upstream?: string | undefined;
  readonly revision?: string | undefined;
  readonly kind?: string | undefined;
  readonly process?: string | undefined;
  /** Substring of any value of the subject. */
  readonly about?: string | undefined;
}

type FilterName = keyof EventFilter;
type EventMatcher = (event: TimelineEvent, wanted: string) => boolean;

const listAttempts = (events: readonly TimelineEvent[], column: string, id: string): Set<string> =>
  new Set(
    events
      .filter(({ subject }) => subject[column] === id)
      .flatMap(({ subject }) => (typeof subject.attempt === 'string' ? [subject.attempt] : [])),
  );

const listRequestsOfSample = (events: readonly TimelineEvent[], sample: string): Set<string> =>
  new Set(
    events
      .filter(({ subject }) => subject.sample === sample)
      .flatMap(({ subject }) => (typeof subject.request === 'string' ? [subject.request] : [])),
  );

const isOneOf = (values: ReadonlySet<string>, value: unknown): boolean =>
  typeof value === 'string' && values.has(value);

const createRequestMatcher = (events: readonly TimelineEvent[], requests: ReadonlySet<string>) => {
  const attempts = new Set([...requests].flatMap((id) => [...listAttempts(events, 'request', id)]));
  return ({ subject }: TimelineEvent): boolean =>
    isOneOf(requests, subject.request) || isOneOf(attempts, subject.attempt);
};

const createColumnMatcher =
  (column: string): EventMatcher =>
  ({ subject }, wanted) =>
    String(subject[column] ?? '') === wanted;

/** Creates the matcher of each filter; all events are needed to resolve attempts. */
const matcherFactories: Readonly<
  Record<FilterName, (events: readonly TimelineEvent[], wanted: string) => EventMatcher>
> = {
  request: (events, wanted) => createRequestMatcher(events, new Set([wanted])),
  sample: (events, wanted) => {
    const matchesRequest = createRequestMatcher(events, listRequestsOfSample(events, wanted));
    return (event) => event.subject.sample === wanted || matchesRequest(event);
  },
  upstream: () => createColumnMatcher('upstream'),
  revision: () => createColumnMatcher('revision'),
  kind: () => (event, wanted) => event.kind === wanted,
  process: () => (event, wanted) => event.process === wanted,
  about: () => (event, wanted) =>
    Object.values(event.subject).some((value) => String(value).includes(wanted)),
};

const filterNames = Object.keys(matcherFactories) as FilterName[];

/** Returns the events that match every filter, in their original order. */
export const filterEvents = (
  events: readonly TimelineEvent[],
  filter: EventFilter,
): readonly TimelineEvent[] =>
  filterNames.reduce<readonly TimelineEvent[]>((remaining, name) => {
    const wanted = filter[name];
    if (wanted === undefined) return remaining;
    const matches = matcherFactories[name](events, wanted);
    return remaining.filter((event) => matches(event, wanted));
  }, events);
