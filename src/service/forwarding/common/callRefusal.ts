/**
 * Why a call ends without an upstream's answer. Each kind says whether it is certain that nothing ran.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import type { Milliseconds } from '../../../base/common/time.js';

export const CallRefusalKind = {
  /** No declaration is known to be in force. */
  NotReady: 'notReady',
  UnknownRoute: 'unknownRoute',
  UnknownKey: 'unknownKey',
  /** No upstream took it in time. */
  NoUpstream: 'noUpstream',
  /** The deadline has passed, and nothing ran. */
  DeadlinePassed: 'deadlinePassed',
  /** The deadline has passed while an upstream may have run it. */
  AnswerLate: 'answerLate',
  /** Upstreams that may have run it gave no usable answer. */
  UpstreamFailed: 'upstreamFailed',
} as const;
export type CallRefusalKind = ValueOf<typeof CallRefusalKind>;

export interface CallRefusal {
  readonly kind: CallRefusalKind;
  /** Whether it is certain that nothing ran and nothing will. */
  readonly isNotRun: boolean;
  /** Names the remedy. */
  readonly message: string;
  /** After which time it may be sent again; null where sending again does not help. */
  readonly retryMilliseconds: Milliseconds | null;
}

type Template = Omit<CallRefusal, 'kind'>;

/** A declaration comes with the next contact to a control daemon, which is sought each second. */
const notReadyRetryMilliseconds = 500;

/** About the time in which an upstream ends one of the requests that fill it. */
const noUpstreamRetryMilliseconds = 150;

const templates: Readonly<Record<CallRefusalKind, Template>> = {
  notReady: {
    isNotRun: true,
    message: 'This daemon does not know the declaration in force; send it to another one.',
    retryMilliseconds: notReadyRetryMilliseconds,
  },
  unknownRoute: {
    isNotRun: true,
    message: 'No route is declared for this host and path; check both.',
    retryMilliseconds: null,
  },
  unknownKey: {
    isNotRun: true,
    message: 'No workspace holds this key; send one that is declared.',
    retryMilliseconds: null,
  },
  noUpstream: {
    isNotRun: true,
    message: 'Every upstream of the service is full or gone; send it again later.',
    retryMilliseconds: noUpstreamRetryMilliseconds,
  },
  deadlinePassed: {
    isNotRun: true,
    message: 'The deadline passed before an upstream took the request; allow more time.',
    retryMilliseconds: noUpstreamRetryMilliseconds,
  },
  answerLate: {
    isNotRun: false,
    message: 'The deadline passed before the answer came; the request may have run.',
    retryMilliseconds: null,
  },
  upstreamFailed: {
    isNotRun: false,
    message: 'No upstream gave a whole answer; the request may have run.',
    retryMilliseconds: null,
  },
};

/** The refusal of a kind. */
export const createCallRefusal = (kind: CallRefusalKind): CallRefusal => ({
  kind,
  ...templates[kind],
});
