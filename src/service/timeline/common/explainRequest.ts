/**
 * Explains from the time line what became of a request: how it ended and why, what each attempt did, and
 * what else its process recorded shortly before the end.
 */
import {
  formatEvent,
  type TimelineEvent,
} from '../../../infrastructure/timeline/common/timelineEvent.js';
import { EventKind } from '../../events/common/eventKind.js';
import { createRefusal, RefusalKind } from '../../traffic/common/refusal.js';
import { filterEvents } from './eventFilter.js';

const contextMilliseconds = 10_000;

/** How each kind of end reads. */
const endTexts: Readonly<Partial<Record<string, string>>> = {
  [EventKind.RequestRefused]: 'was refused',
  [EventKind.RequestFailed]: 'failed',
  [EventKind.RequestCancelled]: 'was cancelled',
  [EventKind.RequestAnswered]: 'was answered',
};

/** Events of a process that may be the cause of a refusal. */
const contextKinds: ReadonlySet<string> = new Set<string>([
  EventKind.DaemonLeaving,
  EventKind.LeadershipLost,
  EventKind.PeerSuspected,
  EventKind.SettingsPublished,
  EventKind.UpstreamChanged,
  EventKind.UpstreamGone,
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
  context.length === 0 ? [] : ['Shortly before, on the same process:', ...context.map(formatEvent)];

/** The explanation as lines of text, or undefined where no event names the request. */
export const explainRequest = (
  events: readonly TimelineEvent[],
  request: string,
): readonly string[] | undefined => {
  const own = filterEvents(events, { request });
  if (own.length === 0) return undefined;
  const end = own.findLast(({ kind }) => endTexts[kind] !== undefined);
  const head =
    end === undefined
      ? [`${request} has no recorded end.`]
      : [`${request} ${endTexts[end.kind]} on ${end.process}.`, ...describeReason(end)];
  return [
    ...head,
    ...describeAttempts(own),
    ...(end === undefined ? [] : describeContext(findContext(events, end))),
    'Time line:',
    ...own.map(formatEvent),
  ];
};
