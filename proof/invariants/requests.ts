/**
 * Invariants of requests: authorization, complete answers, correct `notRun` refusals, and at most one
 * execution of requests that are not idempotent.
 */
import { EventKind } from '../../src/service/events/common/eventKind.js';
import type { Call } from '../../standins/virtual/virtualCallers.js';
import { ExecutionState, type Execution } from '../../standins/virtual/virtualUpstream.js';
import type { Recording } from '../system/recording.js';
import { InvariantName, createViolationFactory, type Invariant } from './invariant.js';

const executionsOf = ({ executions }: Recording, call: Call): Execution[] =>
  executions.filter(({ request }) => request === call.request);

const createOwnWorkspaceViolation = createViolationFactory(InvariantName.OwnWorkspace);

const findKeyOwner = ({ tree }: Recording, digest: string | null): string | null => {
  const owner = Object.entries(tree.workspaces).find(([, { keys }]) =>
    Object.values(keys).some((key) => key.digest === digest),
  );
  return owner?.[0] ?? null;
};

const isExecutionAllowed = (recording: Recording, { decoded }: Call): boolean => {
  const service = recording.tree.services[decoded.service ?? ''];
  if (decoded.keyDigest === null) return service?.open === true;
  const owner = findKeyOwner(recording, decoded.keyDigest);
  const workspace = owner === null ? undefined : recording.tree.workspaces[owner];
  return workspace?.services.includes(decoded.service ?? '') === true;
};

const findAdmittedWorkspace = ({ events }: Recording, request: string | null) =>
  events.find(
    (event) => event.kind === EventKind.RequestAdmitted && event.subject.request === request,
  )?.subject.workspace ?? null;

/** A call runs only for the workspace that owns its key, or without a key on an open service. */
export const checkOwnWorkspace: Invariant = (recording) =>
  recording.calls.flatMap((call) => {
    const { request } = call;
    const hasExecution = executionsOf(recording, call).length > 0;
    if (hasExecution && !isExecutionAllowed(recording, call)) {
      return [
        createOwnWorkspaceViolation(`${request} ran although its key does not allow it`, request),
      ];
    }
    const workspace = findAdmittedWorkspace(recording, request);
    const isOwn =
      workspace === null || workspace === findKeyOwner(recording, call.decoded.keyDigest);
    return isOwn
      ? []
      : [
          createOwnWorkspaceViolation(
            `${request} was admitted for workspace ${workspace}, which does not own its key`,
            request,
          ),
        ];
  });

const createWholeAnswerViolation = createViolationFactory(InvariantName.WholeAnswer);

const findCompletedAttempt = ({ events }: Recording, request: string | null) =>
  events.find(
    ({ kind, subject }) =>
      kind === EventKind.AttemptEnded &&
      subject.request === request &&
      subject.outcome === 'answerEnded',
  )?.subject;

const countTokens = ({ spans }: Execution): number =>
  spans.reduce((total, { tokens }) => total + tokens, 0);

/** The answer to a call is the complete output of one execution of that call, with every token. */
export const checkWholeAnswer: Invariant = (recording) =>
  recording.calls
    .filter(({ outcome }) => outcome === 'answered')
    .flatMap((call) => {
      const completedAttempt = findCompletedAttempt(recording, call.request);
      const execution = executionsOf(recording, call).find(
        ({ attempt }) => attempt === completedAttempt?.attempt,
      );
      const isComplete =
        execution?.state === ExecutionState.Ended &&
        countTokens(execution) === completedAttempt?.completionTokens;
      const message = `${call.request} was answered, but no execution completed the answer`;
      return isComplete ? [] : [createWholeAnswerViolation(message, call.request)];
    });

const createNotRunTrueViolation = createViolationFactory(InvariantName.NotRunTrue);

/** No upstream has started a request that was refused with `notRun`. */
export const checkNotRunTrue: Invariant = (recording) =>
  recording.calls
    .filter(({ refusal }) => refusal?.notRun === true)
    .flatMap((call) => {
      const [execution] = executionsOf(recording, call);
      const message = `${call.request} was refused as not run, but ${execution?.upstream} ran it`;
      return execution === undefined ? [] : [createNotRunTrueViolation(message, call.request)];
    });

const createAtMostOnceViolation = createViolationFactory(InvariantName.AtMostOnce);

/** A request to a service that is not idempotent has at most one execution. */
export const checkAtMostOnce: Invariant = (recording) =>
  recording.calls
    .filter(({ decoded }) => recording.tree.services[decoded.service ?? '']?.idempotent === false)
    .flatMap((call) => {
      const count = executionsOf(recording, call).length;
      const message = `${call.request} ran ${count} times`;
      return count <= 1 ? [] : [createAtMostOnceViolation(message, call.request)];
    });
