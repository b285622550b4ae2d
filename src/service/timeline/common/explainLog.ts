/**
 * Explains the history of a request, item, job, upstream, declaration or usage window from the log
 * lines of all processes. The explanation leads from an identifier to the probable cause of its
 * outcome.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import {
  formatEvent,
  type TimelineEvent,
} from '../../../infrastructure/timeline/common/timelineEvent.js';
import { EventKind } from '../../events/common/eventKind.js';
import { CallRefusalKind, createCallRefusal } from '../../forwarding/common/callRefusal.js';
import { describeProcessEnds } from './explainQuarantine.js';
import { ItemFailureCause } from '../../jobs/common/listItems.js';

/** Kinds of identifiers; each value is the subject column that contains the identifier. */
export const LogSubject = {
  Request: 'request',
  Item: 'item',
  Job: 'job',
  Upstream: 'upstream',
  Declaration: 'declaration',
  Window: 'window',
} as const;
export type LogSubject = ValueOf<typeof LogSubject>;

type Events = readonly TimelineEvent[];

/**
 * State changes up to this time before the first event of a subject are reported as possible
 * causes.
 */
const contextMilliseconds = 10_000;

/** Kinds of state changes that affect all processes. */
const installationKinds: ReadonlySet<string> = new Set<string>([
  EventKind.LeadershipTaken,
  EventKind.LeadershipLost,
  EventKind.VotingChanged,
  EventKind.LeaderMissing,
  EventKind.LeaderFound,
  EventKind.VoterBehind,
  EventKind.NotJoined,
  EventKind.Joined,
  EventKind.VoterLagging,
  EventKind.VoterCaughtUp,
  EventKind.SnapshotRefused,
  EventKind.SnapshotAbandoned,
  EventKind.FrameRefused,
  EventKind.StorageFailed,
]);

/** Kinds of state changes that affect only the process that records them. */
const processKinds: ReadonlySet<string> = new Set<string>([
  EventKind.DaemonStarted,
  EventKind.DaemonLeaving,
  EventKind.ClockJumped,
  EventKind.PeerSuspected,
  EventKind.PeerAlive,
  EventKind.DeclarationActivated,
  EventKind.ConfigurationMissing,
  EventKind.ConfigurationFound,
  EventKind.RegistrationChanged,
  EventKind.LinesDropped,
]);

const startOf = (events: Events): number => events[0]!.stamp.wall;
const endOf = (events: Events): number => events.at(-1)!.stamp.wall;
const filterByKind = (events: Events, kind: EventKind): TimelineEvent[] =>
  events.filter((event) => event.kind === kind);

/** Formats the time between two wall times in milliseconds as seconds, such as `1.50 s`. */
const formatSeconds = (from: number, to: number): string => `${((to - from) / 1_000).toFixed(2)} s`;

const listServices = (subjectEvents: Events): ReadonlySet<unknown> =>
  new Set(
    subjectEvents.map(({ subject }) => subject.service).filter((service) => service !== undefined),
  );

const listUpstreams = (subjectEvents: Events): ReadonlySet<unknown> =>
  new Set(
    subjectEvents
      .map(({ subject }) => subject.upstream)
      .filter((upstream) => upstream !== undefined),
  );

const concernsUpstreams = ({ kind, subject }: TimelineEvent, subjectEvents: Events): boolean =>
  kind !== EventKind.RegistrationChanged ||
  listServices(subjectEvents).has(subject.service) ||
  listUpstreams(subjectEvents).has(subject.upstream);

/** Whether an event may explain the subject: it affects all processes or those of the subject. */
const isPossibleCause = (event: TimelineEvent, subjectEvents: Events): boolean =>
  installationKinds.has(event.kind) ||
  (processKinds.has(event.kind) &&
    subjectEvents.some(({ process }) => process === event.process) &&
    concernsUpstreams(event, subjectEvents));

const describeContext = (events: Events, subjectEvents: Events): string[] => {
  const context = events.filter(
    (event) =>
      event.stamp.wall >= startOf(subjectEvents) - contextMilliseconds &&
      event.stamp.wall <= endOf(subjectEvents) &&
      isPossibleCause(event, subjectEvents),
  );
  return context.length === 0
    ? ['No related state changes were recorded from shortly before its first log line to its last.']
    : [
        'Related state changes, from shortly before its first log line to its last:',
        ...context.map(formatEvent),
      ];
};

const isRefusalKind = (value: unknown): value is CallRefusalKind =>
  Object.values<unknown>(CallRefusalKind).includes(value);

const describeRefusal = ({ subject, process }: TimelineEvent): string[] => {
  if (!isRefusalKind(subject.refusal)) return [`It was refused on ${process}.`];
  const { kind, isNotRun, message } = createCallRefusal(subject.refusal);
  const runText = isNotRun ? 'It did not run.' : 'It may have run.';
  return [
    `It was refused on ${process} after ${subject.tookMilliseconds} ms: ${kind}. ${runText}`,
    `Meaning and remedy: ${message}`,
  ];
};

/** Formats the end of a request, by the kind of the event that ended it. */
const requestEndFormatters: Readonly<Partial<Record<string, (end: TimelineEvent) => string[]>>> = {
  [EventKind.CallRefused]: describeRefusal,
  [EventKind.CallAnswered]: ({ subject, process }) => [
    `It was answered on ${process} after ${subject.tookMilliseconds} ms by ${subject.upstream}.`,
  ],
  [EventKind.CallCancelled]: ({ subject, process }) => [
    `Its caller disconnected from ${process} after ${subject.tookMilliseconds} ms.`,
  ],
};

const describeSlowestSend = (subjectEvents: Events): string[] => {
  const ends = filterByKind(subjectEvents, EventKind.SendEnded);
  if (ends.length === 0) return ['No send to an upstream was recorded.'];
  const slowest = ends.reduce((most, end) =>
    Number(end.subject.tookMilliseconds) > Number(most.subject.tookMilliseconds) ? end : most,
  );
  const { upstream, outcome, reason, tookMilliseconds } = slowest.subject;
  return [
    `${ends.length} sends to upstreams; the slowest took ${tookMilliseconds} ms at ${upstream}: ${outcome}` +
      `${reason === undefined || reason === '' ? '' : ` (${reason})`}.`,
  ];
};

const explainRequest = (events: Events, subjectEvents: Events): string[] => {
  const end = subjectEvents.findLast(({ kind }) => requestEndFormatters[kind] !== undefined);
  const head =
    end === undefined
      ? ['It has no recorded end: its process stopped, its lines were dropped, or it still runs.']
      : requestEndFormatters[end.kind]!(end);
  return [
    ...head,
    ...(end === undefined ? [] : describeProcessEnds(events, end)),
    ...describeSlowestSend(subjectEvents),
    ...describeContext(events, subjectEvents),
  ];
};

/** Phase of an item after each kind of event, until its next event. */
const phaseByKind: Readonly<Partial<Record<string, string>>> = {
  [EventKind.RunStarted]: 'running on an engine',
  [EventKind.RunNotStarted]: 'waiting for an engine slot',
  [EventKind.RunBroken]: 'waiting for an engine slot',
  [EventKind.RunMoved]: 'waiting for an engine slot',
  [EventKind.RunTimedOut]: 'waiting for an engine slot',
  [EventKind.TextDiscarded]: 'waiting for an engine slot',
  [EventKind.TextHeld]: 'waiting for reports of its engines',
  [EventKind.RunFailed]: 'waiting for an engine slot',
  [EventKind.ScoringStarted]: 'being scored',
};

/** Computes the time in milliseconds that an item spent in each phase, longest first. */
const computePhases = (accepted: number | undefined, subjectEvents: Events): [string, number][] => {
  const times = new Map<string, number>();
  const add = (phase: string, time: number): unknown =>
    times.set(phase, (times.get(phase) ?? 0) + time);
  if (accepted !== undefined) add('waiting for an engine slot', startOf(subjectEvents) - accepted);
  subjectEvents.slice(1).forEach((event, position) => {
    const phase = phaseByKind[subjectEvents[position]!.kind];
    if (phase !== undefined) add(phase, event.stamp.wall - subjectEvents[position]!.stamp.wall);
  });
  return [...times].sort(([, first], [, second]) => second - first);
};

const causeTexts: Readonly<Record<ItemFailureCause, string>> = {
  enginesFailed: 'its runs on engines failed in all attempts that its route allows',
  impossible: 'an engine reported that the item can never succeed',
  scoringFailed: 'its scoring request failed in all attempts that its route allows',
  timeOver: 'its deadline passed',
};

const isItemFailureCause = (value: unknown): value is ItemFailureCause =>
  Object.values<unknown>(ItemFailureCause).includes(value);

const describeItemEnd = (subjectEvents: Events): string => {
  const listed = filterByKind(subjectEvents, EventKind.ItemListed).at(-1);
  if (listed === undefined)
    return 'It was not listed: its job ended first, or its log lines were dropped.';
  const { result, cause } = listed.subject;
  return isItemFailureCause(cause)
    ? `It was listed as ${result}: ${causeTexts[cause]}.`
    : `It was listed as ${result}.`;
};

const failureKinds: ReadonlySet<string> = new Set<string>([
  EventKind.RunBroken,
  EventKind.RunMoved,
  EventKind.RunTimedOut,
  EventKind.TextDiscarded,
  EventKind.RunFailed,
  EventKind.RunNotStarted,
]);

const explainItem = (events: Events, subjectEvents: Events, id: string): string[] => {
  const [job] = id.split('/');
  const accepted = filterByKind(events, EventKind.JobAccepted).find(
    ({ subject }) => subject.job === job,
  );
  const phases = computePhases(accepted?.stamp.wall, subjectEvents);
  const leaders = new Set(
    filterByKind(subjectEvents, EventKind.RunStarted).map(({ process }) => process),
  );
  const failures = subjectEvents.filter(({ kind }) => failureKinds.has(kind));
  return [
    describeItemEnd(subjectEvents),
    ...(phases.length === 0
      ? []
      : [
          `Time by phase: ${phases.map(([phase, time]) => `${formatSeconds(0, time)} ${phase}`).join(', ')}.`,
        ]),
    ...(leaders.size > 1
      ? [`The leader changed during its runs: ${[...leaders].join(', ')}.`]
      : []),
    ...failures.map(
      ({ kind, subject }) => `${kind} at ${subject.upstream}: ${subject.reason ?? ''}.`,
    ),
    ...describeContext(events, subjectEvents),
  ];
};

const maximumShownItems = 3;

const explainJob = (events: Events, subjectEvents: Events, id: string): string[] => {
  const accepted = filterByKind(subjectEvents, EventKind.JobAccepted)[0];
  const ended = filterByKind(subjectEvents, EventKind.JobEnded)[0];
  const listed = filterByKind(events, EventKind.ItemListed).filter(({ subject }) =>
    String(subject.item).startsWith(`${id}/`),
  );
  const from = accepted?.stamp.wall ?? startOf(subjectEvents);
  return [
    `It has ${accepted?.subject.items ?? 'an unknown number of'} items; log lines of ${listed.length} listed items were found.`,
    ended === undefined
      ? 'Its client has not ended it, or the log line was dropped.'
      : `Its client ended it after ${formatSeconds(from, ended.stamp.wall)}.`,
    ...(listed.length === 0 ? [] : ['The last listed items; explain each by its identifier:']),
    ...listed
      .slice(-maximumShownItems)
      .map(({ stamp, subject }) => `${subject.item} after ${formatSeconds(from, stamp.wall)}`),
  ];
};

const explainContext = (events: Events, subjectEvents: Events): string[] =>
  describeContext(events, subjectEvents);

const explainers: Readonly<
  Record<LogSubject, (events: Events, subjectEvents: Events, id: string) => string[]>
> = {
  request: explainRequest,
  item: explainItem,
  job: explainJob,
  upstream: () => [],
  declaration: explainContext,
  window: explainContext,
};

const isAbout = (event: TimelineEvent, subject: LogSubject, id: string): boolean =>
  String(event.subject[subject] ?? '') === id;

/** Returns the explanation as lines of text, or undefined if no event contains the identifier. */
export const explainLog = (events: Events, id: string): readonly string[] | undefined => {
  const subject = Object.values(LogSubject).find((column) =>
    events.some((event) => isAbout(event, column, id)),
  );
  if (subject === undefined) return undefined;
  const subjectEvents = events.filter((event) => isAbout(event, subject, id));
  return [
    `${id} is ${subject === LogSubject.Item || subject === LogSubject.Upstream ? 'an' : 'a'} ${subject}.`,
    ...explainers[subject](events, subjectEvents, id),
    'Log lines:',
    ...subjectEvents.map(formatEvent),
  ];
};
