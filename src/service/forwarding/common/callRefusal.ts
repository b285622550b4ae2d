/**
 * Reasons why a call ends without an upstream's answer. Each kind states whether the call certainly
 * did not run, which tells the caller whether a retry is safe.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import type { Milliseconds } from '../../../base/common/time.js';
import { quarantineMilliseconds } from '../../quarantine/common/crashRecords.js';

export const CallRefusalKind = {
  /** This daemon does not know whether its declaration is current. */
  NotReady: 'notReady',
  UnknownRoute: 'unknownRoute',
  UnknownKey: 'unknownKey',
  /** This daemon stops before the call would have to end. */
  Leaving: 'leaving',
  /** No upstream accepted the call in time. */
  NoUpstream: 'noUpstream',
  /** No upstream of the service is at an allowed place in the home regions of the call. */
  NoUpstreamInHomes: 'noUpstreamInHomes',
  /** The deadline has passed, and the call did not run. */
  DeadlinePassed: 'deadlinePassed',
  /** The deadline has passed, and an upstream may have run the call. */
  AnswerLate: 'answerLate',
  /** Processes ended under earlier calls with the same content. */
  Quarantined: 'quarantined',
  /** The software version that began the stream of the call is unknown. */
  OriginUnknown: 'originUnknown',
  /** No upstream runs the software version that began the stream of the call. */
  VersionNotServed: 'versionNotServed',
  /** The home regions of the route and those of the workspace have no region in common. */
  NoHomeRegion: 'noHomeRegion',
  /** Too few daemons in the home regions could store the contents of a job. */
  TooFewHolders: 'tooFewHolders',
  /** Upstreams that may have run the call returned no usable answer. */
  UpstreamFailed: 'upstreamFailed',
} as const;
export type CallRefusalKind = ValueOf<typeof CallRefusalKind>;

export interface CallRefusal {
  readonly kind: CallRefusalKind;
  /** Whether the call certainly did not run and will not run. */
  readonly isNotRun: boolean;
  /** Describes the reason and the remedy. */
  readonly message: string;
  /** Delay before a retry; null if a retry does not help. */
  readonly retryMilliseconds: Milliseconds | null;
}

type Template = Omit<CallRefusal, 'kind'>;

/** A daemon contacts a control daemon every second and receives the declaration with the reply. */
const notReadyRetryMilliseconds = 500;

/** Approximate time until a fully loaded upstream completes one of its requests. */
const noUpstreamRetryMilliseconds = 150;

/** Time in which an upstream that has started again is registered. */
const noUpstreamInHomesRetryMilliseconds = 500;

/** Time in which a control daemon that was out of contact is replaced by another one. */
const originRetryMilliseconds = 500;

/** Time in which a control daemon that was out of contact is heard of again. */
const holderRetryMilliseconds = 1_000;

const templates: Readonly<Record<CallRefusalKind, Template>> = {
  notReady: {
    isNotRun: true,
    message: 'This daemon has no current declaration; send the request to another daemon.',
    retryMilliseconds: notReadyRetryMilliseconds,
  },
  leaving: {
    isNotRun: true,
    message: 'This daemon is stopping; send the request to another daemon.',
    retryMilliseconds: 0,
  },
  unknownRoute: {
    isNotRun: true,
    message: 'No route is declared for this host and path; check both.',
    retryMilliseconds: null,
  },
  unknownKey: {
    isNotRun: true,
    message: 'No declared workspace has this key; send a declared key.',
    retryMilliseconds: null,
  },
  noUpstream: {
    isNotRun: true,
    message: 'All upstreams of the service are busy or unavailable; send the request again later.',
    retryMilliseconds: noUpstreamRetryMilliseconds,
  },
  noUpstreamInHomes: {
    isNotRun: true,
    message:
      'No upstream is available in the home regions of the route and the workspace; the request ' +
      'did not run. Send it again later, or declare a home region with upstreams of the service.',
    retryMilliseconds: noUpstreamInHomesRetryMilliseconds,
  },
  deadlinePassed: {
    isNotRun: true,
    message: 'The deadline passed before an upstream accepted the request; allow more time.',
    retryMilliseconds: noUpstreamRetryMilliseconds,
  },
  answerLate: {
    isNotRun: false,
    message: 'The deadline passed before an answer arrived; the request may have run.',
    retryMilliseconds: null,
  },
  quarantined: {
    isNotRun: true,
    message:
      'Upstream processes ended while they ran this very request; change it, or send it again ' +
      'after the time given.',
    retryMilliseconds: quarantineMilliseconds,
  },
  originUnknown: {
    isNotRun: true,
    message: 'This daemon does not know where the stream began; begin it anew.',
    retryMilliseconds: originRetryMilliseconds,
  },
  versionNotServed: {
    isNotRun: true,
    message: 'No upstream runs the software that began the stream; begin it anew.',
    retryMilliseconds: null,
  },
  noHomeRegion: {
    isNotRun: true,
    message:
      'The route and the workspace allow no common region, so the job did not run; change the ' +
      'declaration.',
    retryMilliseconds: null,
  },
  tooFewHolders: {
    isNotRun: true,
    message:
      'Too few control daemons in the home regions could store the bodies of the job, so it did ' +
      'not run; send it again later.',
    retryMilliseconds: holderRetryMilliseconds,
  },
  upstreamFailed: {
    isNotRun: false,
    message: 'No upstream returned a complete answer; the request may have run.',
    retryMilliseconds: null,
  },
};

/** Creates the refusal of the given kind; `columns` override those that are known better. */
export const createCallRefusal = (
  kind: CallRefusalKind,
  columns: Partial<Pick<CallRefusal, 'retryMilliseconds'>> = {},
): CallRefusal => ({ kind, ...templates[kind], ...columns });
