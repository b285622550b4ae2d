/**
 * Explains from the log lines of all processes what became of a request, an item, a job, an upstream, a
 * declaration or a window of usage: one story that leads from an identifier to its cause.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import {
  formatEvent,
  type TimelineEvent,
} from '../../../infrastructure/timeline/common/timelineEvent.js';
import { EventKind } from '../../events/common/eventKind.js';
import { CallRefusalKind, createCallRefusal } from '../../forwarding/common/callRefusal.js';
import { ItemFailureCause } from '../../jobs/common/listItems.js';

/** What an identifier names; each is the column of the lines that hold it. */
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

/** Changes of belief this long before the begin of a story may be its cause. */
const contextMilliseconds = 10_000;

/** Changes that concern every process. */
const installationKinds: ReadonlySet<string> = new Set<string>([
  EventKind.LeadershipTaken,
  EventKind.LeadershipLost,
  EventKind.VotingChanged,
  EventKind.StorageFailed,
]);

/** Changes that concern the process which records them. */
const processKinds: ReadonlySet<string> = new Set<string>([
  EventKind.DaemonStarted,
  EventKind.DaemonLeaving,
  EventKind.PeerSuspected,
  EventKind.PeerAlive,
  EventKind.DeclarationInForce,
  EventKind.RegistrationChanged,
  EventKind.LinesDropped,
]);

const startOf = (events: Events): number => events[0]!.stamp.wall;
const endOf = (events: Events): number => events.at(-1)!.stamp.wall;
const filterByKind = (events: Events, kind: EventKind): TimelineEvent[] =>
  events.filter((event) => event.kind === kind);

/** Seconds from one event to another, for people. */
const formatSeconds = (from: number, to: number): string => `${((to - from) / 1_000).toFixed(2)} s`;

const listServices = (own: Events): ReadonlySet<unknown> =>
  new Set(own.map(({ subject }) => subject.service).filter((service) => service !== undefined));

const listUpstreams = (own: Events): ReadonlySet<unknown> =>
  new Set(own.map(({ subject }) => subject.upstream).filter((upstream) => upstream !== undefined));

const concernsUpstreams = ({ kind, subject }: TimelineEvent, own: Events): boolean =>
  kind !== EventKind.RegistrationChanged ||
  listServices(own).has(subject.service) ||
  listUpstreams(own).has(subject.upstream);

/** Whether a change may be a cause of a story: a common one, or one of its processes and upstreams. */
const isPossibleCause = (event: TimelineEvent, own: Events): boolean =>
  installationKinds.has(event.kind) ||
  (processKinds.has(event.kind) &&
    own.some(({ process }) => process === event.process) &&
    concernsUpstreams(event, own));

const describeContext = (events: Events, own: Events): string[] => {
  const context = events.filter(
    (event) =>
      event.stamp.wall >= startOf(own) - contextMilliseconds &&
      event.stamp.wall <= endOf(own) &&
      isPossibleCause(event, own),
  );
  return context.length === 0
    ? ['Its processes changed no view of leaders, daemons or these upstreams in that time.']
    : ['What its processes came to believe in that time:', ...context.map(formatEvent)];
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

/** How a request ended, by the kind of its last line. */
const requestEndFormatters: Readonly<Partial<Record<string, (end: TimelineEvent) => string[]>>> = {
  [EventKind.CallRefused]: describeRefusal,
  [EventKind.CallAnswered]: ({ subject, process }) => [
    `It was answered on ${process} after ${subject.tookMilliseconds} ms by ${subject.upstream}.`,
  ],
  [EventKind.CallCancelled]: ({ subject, process }) => [
    `Its caller left ${process} after ${subject.tookMilliseconds} ms.`,
  ],
};

const describeSlowestSend = (own: Events): string[] => {
  const ends = filterByKind(own, EventKind.SendEnded);
  if (ends.length === 0) return ['No upstream was asked.'];
  const slowest = ends.reduce((most, end) =>
    Number(end.subject.tookMilliseconds) > Number(most.subject.tookMilliseconds) ? end : most,
  );
  const { upstream, outcome, reason, tookMilliseconds } = slowest.subject;
  return [
    `${ends.length} sends; the longest took ${tookMilliseconds} ms at ${upstream}: ${outcome}` +
      `${reason === undefined || reason === '' ? '' : ` (${reason})`}.`,
  ];
};

const explainRequest = (events: Events, own: Events): string[] => {
  const end = own.findLast(({ kind }) => requestEndFormatters[kind] !== undefined);
  const head =
    end === undefined
      ? ['It has no recorded end: its process ended, its lines were left out, or it still runs.']
      : requestEndFormatters[end.kind]!(end);
  return [...head, ...describeSlowestSend(own), ...describeContext(events, own)];
};

/** Parts of the life of an item, each from one kind of line to the next. */
const phaseByKind: Readonly<Partial<Record<string, string>>> = {
  [EventKind.RunStarted]: 'on an engine',
  [EventKind.RunNotTaken]: 'waiting for a place',
  [EventKind.RunBroken]: 'waiting for a place',
  [EventKind.RunMoved]: 'waiting for a place',
  [EventKind.RunSilent]: 'waiting for a place',
  [EventKind.RunFailed]: 'waiting for a place',
  [EventKind.ScoringStarted]: 'being scored',
};

/** How long an item spent in each part of its life, the longest first. */
const computePhases = (accepted: number | undefined, own: Events): [string, number][] => {
  const times = new Map<string, number>();
  const add = (phase: string, time: number): unknown =>
    times.set(phase, (times.get(phase) ?? 0) + time);
  if (accepted !== undefined) add('waiting for a place', startOf(own) - accepted);
  own.slice(1).forEach((event, position) => {
    const phase = phaseByKind[own[position]!.kind];
    if (phase !== undefined) add(phase, event.stamp.wall - own[position]!.stamp.wall);
  });
  return [...times].sort(([, first], [, second]) => second - first);
};

const causeTexts: Readonly<Record<ItemFailureCause, string>> = {
  enginesFailed: 'engines failed it as often as its route allows',
  impossible: 'an engine said that it can never be done',
  scoringFailed: 'its scoring request failed as often as its route allows',
  timeOver: 'its time was over',
};

const isDeathCause = (value: unknown): value is ItemFailureCause =>
  Object.values<unknown>(ItemFailureCause).includes(value);

const describeItemEnd = (own: Events): string => {
  const listed = filterByKind(own, EventKind.ItemListed).at(-1);
  if (listed === undefined)
    return 'It was not listed: its job ended first, or its lines were left out.';
  const { result, cause } = listed.subject;
  return isDeathCause(cause)
    ? `It was listed as ${result}: ${causeTexts[cause]}.`
    : `It was listed as ${result}.`;
};

const failureKinds: ReadonlySet<string> = new Set<string>([
  EventKind.RunBroken,
  EventKind.RunMoved,
  EventKind.RunSilent,
  EventKind.RunFailed,
  EventKind.RunNotTaken,
]);

const explainItem = (events: Events, own: Events, id: string): string[] => {
  const [job] = id.split('/');
  const accepted = filterByKind(events, EventKind.JobAccepted).find(
    ({ subject }) => subject.job === job,
  );
  const phases = computePhases(accepted?.stamp.wall, own);
  const leaders = new Set(filterByKind(own, EventKind.RunStarted).map(({ process }) => process));
  const failures = own.filter(({ kind }) => failureKinds.has(kind));
  return [
    describeItemEnd(own),
    ...(phases.length === 0
      ? []
      : [
          `Its time: ${phases.map(([phase, time]) => `${formatSeconds(0, time)} ${phase}`).join(', ')}.`,
        ]),
    ...(leaders.size > 1 ? [`The lead changed while it ran: ${[...leaders].join(', ')}.`] : []),
    ...failures.map(
      ({ kind, subject }) => `${kind} at ${subject.upstream}: ${subject.reason ?? ''}.`,
    ),
    ...describeContext(events, own),
  ];
};

const maximumShownItems = 3;

const explainJob = (events: Events, own: Events, id: string): string[] => {
  const accepted = filterByKind(own, EventKind.JobAccepted)[0];
  const ended = filterByKind(own, EventKind.JobEnded)[0];
  const listed = filterByKind(events, EventKind.ItemListed).filter(({ subject }) =>
    String(subject.item).startsWith(`${id}/`),
  );
  const from = accepted?.stamp.wall ?? startOf(own);
  return [
    `It has ${accepted?.subject.items ?? 'an unknown number of'} items; the lines of ${listed.length} that were listed are here.`,
    ended === undefined
      ? 'It was not ended.'
      : `It was ended after ${formatSeconds(from, ended.stamp.wall)}.`,
    ...(listed.length === 0
      ? []
      : ['The last items that were listed; explain them by their names:']),
    ...listed
      .slice(-maximumShownItems)
      .map(({ stamp, subject }) => `${subject.item} after ${formatSeconds(from, stamp.wall)}`),
  ];
};

const explainContext = (events: Events, own: Events): string[] => describeContext(events, own);

const explainers: Readonly<
  Record<LogSubject, (events: Events, own: Events, id: string) => string[]>
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

/** The explanation as lines of text, or undefined where no line names the identifier. */
export const explainLog = (events: Events, id: string): readonly string[] | undefined => {
  const subject = Object.values(LogSubject).find((column) =>
    events.some((event) => isAbout(event, column, id)),
  );
  if (subject === undefined) return undefined;
  const own = events.filter((event) => isAbout(event, subject, id));
  return [
    `${id} is ${subject === LogSubject.Item || subject === LogSubject.Upstream ? 'an' : 'a'} ${subject}.`,
    ...explainers[subject](events, own, id),
    'Its lines:',
    ...own.map(formatEvent),
  ];
};
