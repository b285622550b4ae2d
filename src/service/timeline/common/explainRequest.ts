/**
 * Explains the outcome of a request from timeline events: how it ended and why, the outcome of each
 * attempt, and other events that its process recorded shortly before the end.
 */
import {
  formatEvent,
  type TimelineEvent,
} from '../../../infrastructure/timeline/common/timelineEvent.js';
import { EventKind } from '../../events/common/eventKind.js';
import { createRefusal, RefusalKind } from '../../traffic/common/refusal.js';
import { filterEvents } from './eventFilter.js';

const contextMilliseconds = 10_000;

/** Text for each kind of event that ends a request. */
const endTexts: Readonly<Partial<Record<string, string>>> = {
  [EventKind.RequestRefused]: 'was refused',
  [EventKind.RequestFailed]: 'failed',
  [EventKind.RequestCancelled]: 'was cancelled',
  [EventKind.RequestAnswered]: 'was answered',
};

/** Kinds of process events that may have caused a refusal. */
const contextKinds: ReadonlySet<string> = new Set<string>([
  EventKind.DaemonLeaving,
  EventKind.LeadershipLost,
  EventKind.PeerSuspected,
  EventKind.SettingsPublished,
  EventKind.UpstreamChanged,
  EventKind.UpstreamRemoved,
]);

const isRefusalKind = (reason: unknown): reason is RefusalKind =>
  Object.values<unknown>(RefusalKind).includes(reason);

const describeReason = ({ subject }: TimelineEvent): string[] => {
  if (!isRefusalKind(subject.reason)) return [];
  const refusal = createRefusal(subject.reason, subject.notRun === true);
  const runText = refusal.notRun ? 'It did not run.' : 'It may have run.';
  return [`Reason: ${refusal.kind}. ${runText}`, `Remedy: ${refusal.message}`];
};

const describeAttempts = (events: readonly TimelineEvent[]): string[] => {
  const attempts = events.filter(({ kind }) => kind === EventKind.AttemptEnded);
  if (attempts.length === 0) return ['No attempt was made.'];
  return attempts.map(
    ({ subject }) => `Attempt ${subject.attempt} on ${subject.upstream}: ${subject.outcome}.`,
  );
};

const findContext = (events: readonly TimelineEvent[], end: TimelineEvent): TimelineEvent[] =>
  events.filter(
    ({ kind, process, stamp }) =>
      contextKinds.has(kind) &&
      process === end.process &&
      stamp.wall <= end.stamp.wall &&
      stamp.wall >= end.stamp.wall - contextMilliseconds,
  );

const describeContext = (context: readonly TimelineEvent[]): string[] =>
  context.length === 0 ? [] : ['Shortly before, in the same process:', ...context.map(formatEvent)];

/** Returns the explanation as lines of text, or undefined if no event contains the request. */
export const explainRequest = (
  events: readonly TimelineEvent[],
  request: string,
): readonly string[] | undefined => {
  const requestEvents = filterEvents(events, { request });
  if (requestEvents.length === 0) return undefined;
  const end = requestEvents.findLast(({ kind }) => endTexts[kind] !== undefined);
  const head =
    end === undefined
      ? [
          `${request} has no recorded end: its process stopped, its events were lost, or it still runs.`,
        ]
      : [`${request} ${endTexts[end.kind]} on ${end.process}.`, ...describeReason(end)];
  return [
    ...head,
    ...describeAttempts(requestEvents),
    ...(end === undefined ? [] : describeContext(findContext(events, end))),
    'Timeline:',
    ...requestEvents.map(formatEvent),
  ];
};
