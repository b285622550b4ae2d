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
const commonKinds: ReadonlySet<string> = new Set<string>([
  EventKind.LeadershipTaken,
  EventKind.LeadershipLost,
  EventKind.VotingChanged,
  EventKind.StorageFailed,
]);

/** Changes that concern the process which records them. */
const ownKinds: ReadonlySet<string> = new Set<string>([
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
const ofKind = (events: Events, kind: EventKind): TimelineEvent[] =>
  events.filter((event) => event.kind === kind);

/** Seconds from one event to another, for people. */
const between = (from: number, to: number): string => `${((to - from) / 1_000).toFixed(2)} s`;

const services = (own: Events): ReadonlySet<unknown> =>
  new Set(own.map(({ subject }) => subject.service).filter((service) => service !== undefined));

const upstreams = (own: Events): ReadonlySet<unknown> =>
  new Set(own.map(({ subject }) => subject.upstream).filter((upstream) => upstream !== undefined));

const isOfUpstreams = ({ kind, subject }: TimelineEvent, own: Events): boolean =>
  kind !== EventKind.RegistrationChanged ||
  services(own).has(subject.service) ||
  upstreams(own).has(subject.upstream);

/** Whether a change may be a cause of a story: a common one, or one of its processes and upstreams. */
const concerns = (event: TimelineEvent, own: Events): boolean =>
  commonKinds.has(event.kind) ||
  (ownKinds.has(event.kind) &&
    own.some(({ process }) => process === event.process) &&
    isOfUpstreams(event, own));

const contextOf = (events: Events, own: Events): string[] => {
  const context = events.filter(
    (event) =>
      event.stamp.wall >= startOf(own) - contextMilliseconds &&
      event.stamp.wall <= endOf(own) &&
      concerns(event, own),
  );
  return context.length === 0
    ? ['Its processes changed no view of leaders, daemons or these upstreams in that time.']
    : ['What its processes came to believe in that time:', ...context.map(formatEvent)];
};

const isRefusalKind = (value: unknown): value is CallRefusalKind =>
  Object.values<unknown>(CallRefusalKind).includes(value);

const refusalLines = ({ subject, process }: TimelineEvent): string[] => {
  if (!isRefusalKind(subject.refusal)) return [`It was refused on ${process}.`];
  const { kind, isNotRun, message } = createCallRefusal(subject.refusal);
  const ran = isNotRun ? 'It did not run.' : 'It may have run.';
  return [
    `It was refused on ${process} after ${subject.tookMilliseconds} ms: ${kind}. ${ran}`,
    `Meaning and remedy: ${message}`,
  ];
};

/** How a request ended, by the kind of its last line. */
const requestEnds: Readonly<Partial<Record<string, (end: TimelineEvent) => string[]>>> = {
  [EventKind.CallRefused]: refusalLines,
  [EventKind.CallAnswered]: ({ subject, process }) => [
    `It was answered on ${process} after ${subject.tookMilliseconds} ms by ${subject.upstream}.`,
  ],
  [EventKind.CallCancelled]: ({ subject, process }) => [
    `Its caller left ${process} after ${subject.tookMilliseconds} ms.`,
  ],
};

const slowestSend = (own: Events): string[] => {
  const ends = ofKind(own, EventKind.SendEnded);
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
  const end = own.findLast(({ kind }) => requestEnds[kind] !== undefined);
  const head =
    end === undefined
      ? ['It has no recorded end: its process ended, its lines were left out, or it still runs.']
      : requestEnds[end.kind]!(end);
  return [...head, ...slowestSend(own), ...contextOf(events, own)];
};

/** Parts of the life of an item, each from one kind of line to the next. */
const phaseOf: Readonly<Partial<Record<string, string>>> = {
  [EventKind.RunStarted]: 'on an engine',
  [EventKind.RunNotTaken]: 'waiting for a place',
  [EventKind.RunBroken]: 'waiting for a place',
  [EventKind.RunMoved]: 'waiting for a place',
  [EventKind.RunSilent]: 'waiting for a place',
  [EventKind.RunFailed]: 'waiting for a place',
  [EventKind.ScoringStarted]: 'being scored',
};

/** How long an item spent in each part of its life, the longest first. */
const phasesOf = (accepted: number | undefined, own: Events): [string, number][] => {
  const times = new Map<string, number>();
  const add = (phase: string, time: number): unknown =>
    times.set(phase, (times.get(phase) ?? 0) + time);
  if (accepted !== undefined) add('waiting for a place', startOf(own) - accepted);
  own.slice(1).forEach((event, position) => {
    const phase = phaseOf[own[position]!.kind];
    if (phase !== undefined) add(phase, event.stamp.wall - own[position]!.stamp.wall);
  });
  return [...times].sort(([, first], [, second]) => second - first);
};

const causes: Readonly<Record<ItemFailureCause, string>> = {
  enginesFailed: 'engines failed it as often as its route allows',
  impossible: 'an engine said that it can never be done',
  scoringFailed: 'its scoring request failed as often as its route allows',
  timeOver: 'its time was over',
};

const isDeathCause = (value: unknown): value is ItemFailureCause =>
  Object.values<unknown>(ItemFailureCause).includes(value);

const itemEnd = (own: Events): string => {
  const listed = ofKind(own, EventKind.ItemListed).at(-1);
  if (listed === undefined)
    return 'It was not listed: its job ended first, or its lines were left out.';
  const { result, cause } = listed.subject;
  return isDeathCause(cause)
    ? `It was listed as ${result}: ${causes[cause]}.`
    : `It was listed as ${result}.`;
};

const troubleKinds: ReadonlySet<string> = new Set<string>([
  EventKind.RunBroken,
  EventKind.RunMoved,
  EventKind.RunSilent,
  EventKind.RunFailed,
  EventKind.RunNotTaken,
]);

const explainItem = (events: Events, own: Events, id: string): string[] => {
  const [job] = id.split('/');
  const accepted = ofKind(events, EventKind.JobAccepted).find(({ subject }) => subject.job === job);
  const phases = phasesOf(accepted?.stamp.wall, own);
  const leaders = new Set(ofKind(own, EventKind.RunStarted).map(({ process }) => process));
  const trouble = own.filter(({ kind }) => troubleKinds.has(kind));
  return [
    itemEnd(own),
    ...(phases.length === 0
      ? []
      : [`Its time: ${phases.map(([phase, time]) => `${between(0, time)} ${phase}`).join(', ')}.`]),
    ...(leaders.size > 1 ? [`The lead changed while it ran: ${[...leaders].join(', ')}.`] : []),
    ...trouble.map(
      ({ kind, subject }) => `${kind} at ${subject.upstream}: ${subject.reason ?? ''}.`,
    ),
    ...contextOf(events, own),
  ];
};

const lastItems = 3;

const explainJob = (events: Events, own: Events, id: string): string[] => {
  const accepted = ofKind(own, EventKind.JobAccepted)[0];
  const ended = ofKind(own, EventKind.JobEnded)[0];
  const listed = ofKind(events, EventKind.ItemListed).filter(({ subject }) =>
    String(subject.item).startsWith(`${id}/`),
  );
  const from = accepted?.stamp.wall ?? startOf(own);
  return [
    `It has ${accepted?.subject.items ?? 'an unknown number of'} items; the lines of ${listed.length} that were listed are here.`,
    ended === undefined
      ? 'It was not ended.'
      : `It was ended after ${between(from, ended.stamp.wall)}.`,
    ...(listed.length === 0
      ? []
      : ['The last items that were listed; explain them by their names:']),
    ...listed
      .slice(-lastItems)
      .map(({ stamp, subject }) => `${subject.item} after ${between(from, stamp.wall)}`),
  ];
};

const explainOthers = (events: Events, own: Events): string[] => contextOf(events, own);

const explainers: Readonly<
  Record<LogSubject, (events: Events, own: Events, id: string) => string[]>
> = {
  request: explainRequest,
  item: explainItem,
  job: explainJob,
  upstream: () => [],
  declaration: explainOthers,
  window: explainOthers,
};

const holds = (event: TimelineEvent, subject: LogSubject, id: string): boolean =>
  String(event.subject[subject] ?? '') === id;

/** The explanation as lines of text, or undefined where no line names the identifier. */
export const explainLog = (events: Events, id: string): readonly string[] | undefined => {
  const subject = Object.values(LogSubject).find((column) =>
    events.some((event) => holds(event, column, id)),
  );
  if (subject === undefined) return undefined;
  const own = events.filter((event) => holds(event, subject, id));
  return [
    `${id} is ${subject === LogSubject.Item || subject === LogSubject.Upstream ? 'an' : 'a'} ${subject}.`,
    ...explainers[subject](events, own, id),
    'Its lines:',
    ...own.map(formatEvent),
  ];
};
