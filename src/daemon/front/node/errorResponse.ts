/**
 * Maps refusals to HTTP responses. The body has the error format that clients of model engines
 * already parse.
 */
import { millisecondsPerSecond } from '../../../base/common/time.js';
import { RefusalKind, type Refusal } from '../../../service/traffic/common/refusal.js';

const statusByKind: Readonly<Record<RefusalKind, number>> = {
  missingKey: 401,
  unknownKey: 401,
  withdrawnKey: 401,
  staleConfiguration: 503,
  unknownService: 404,
  serviceNotAllowed: 403,
  keyInContent: 400,
  bodyNotJson: 400,
  bodyInvalid: 400,
  bodyTooLarge: 413,
  bodyTooManyValues: 413,
  bodyMemoryFull: 503,
  tooManyConnections: 503,
  headersTooLarge: 431,
  queueFull: 429,
  quarantined: 422,
  queueDeadlinePassed: 503,
  leaving: 503,
  upstreamFailed: 502,
  upstreamSilent: 504,
  requestDeadlinePassed: 504,
  callerGone: 499,
  unknownLot: 404,
  lotDeadlinePassed: 410,
  lotConflict: 409,
  ledgerUnavailable: 503,
  bodyUnavailable: 503,
  unknownPath: 404,
  internalFault: 500,
};

const defaultRetryAfterMilliseconds = 1_000;
const retryableKinds: ReadonlySet<RefusalKind> = new Set([
  RefusalKind.QueueFull,
  RefusalKind.QueueDeadlinePassed,
  RefusalKind.Leaving,
  RefusalKind.BodyMemoryFull,
  RefusalKind.TooManyConnections,
  RefusalKind.StaleConfiguration,
]);

/** Returns the HTTP status of a refusal. */
export const httpStatusOf = (refusal: Refusal): number => statusByKind[refusal.kind];

/** Creates the JSON body of a refusal. */
export const createErrorBody = (refusal: Refusal) => ({
  error: {
    type: 'shallotquay_error',
    code: refusal.kind,
    message: refusal.message,
    not_run: refusal.notRun,
  },
});

/** Creates the `retry-after` header of a retryable refusal, in whole seconds, rounded up. */
export const createRetryHeaders = (refusal: Refusal): Record<string, string> => {
  if (!retryableKinds.has(refusal.kind)) return {};
  const milliseconds = refusal.retryAfterMilliseconds ?? defaultRetryAfterMilliseconds;
  return { 'retry-after': String(Math.ceil(milliseconds / millisecondsPerSecond)) };
};

/** Creates the response of a refusal. */
export const createErrorResponse = (refusal: Refusal): Response =>
  Response.json(createErrorBody(refusal), {
    status: httpStatusOf(refusal),
    headers: createRetryHeaders(refusal),
  });
