/**
 * Sends calls to the upstreams that systems have selected, buffers each response until it is
 * complete, and passes the selected response to the submitter of the call. It reports what happens
 * to a send in `sendFacts`; which send counts is decided by systems.
 */
import type { Disposable } from '../../../base/common/disposable.js';
import { remainingUntil, type Clock } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import type { UnreadAnswers } from '../../../service/admission/common/unreadAnswers.js';
import type { CallRefusal } from '../../../service/forwarding/common/callRefusal.js';
import {
  CallState,
  hasCallEnded,
  SendState,
  type ArrivedCall,
  type CallId,
  type CallRow,
  type SendFact,
  type SendId,
  type SendRow,
} from '../../../service/forwarding/common/forwardingTables.js';
import type { World } from '../../../service/world/common/world.js';
import { createAnswerCollector, type CollectedAnswer } from './answerCollector.js';
import { connectionRefusedCode } from '../../quarantine/node/addressProbePort.js';
import { createNamedSender, type OwnedResponse } from './ownedAnswers.js';
import { isDelimitedResponse, type UpstreamClient } from './upstreamClient.js';
import {
  ResponseClass,
  type ResponseHead,
  type RequestContent,
  type UpstreamDialect,
} from './upstreamDialect.js';

/** A complete upstream response. */
export interface UpstreamResponse extends ResponseHead {
  readonly body: Buffer;
  /**
   * Whether the response marks its own end. If not, the end of the connection is its end, and a
   * response that was cut cannot be told from a whole one.
   */
  readonly isDelimited: boolean;
}

/** Result of a call, as passed to its submitter. */
export type CallOutcome =
  | { readonly kind: 'answered'; readonly answer: UpstreamResponse }
  | { readonly kind: 'refused'; readonly refusal: CallRefusal }
  | { readonly kind: 'cancelled' };

/** Request content of a call and the callback for its outcome. */
export interface PendingCall {
  readonly content: RequestContent;
  readonly onDidEnd: (outcome: CallOutcome) => void;
}

/** Port of calls; `drain` runs after each tick. */
export interface CallPort extends Disposable {
  readonly submit: (arrived: ArrivedCall, pending: PendingCall) => void;
  /** Reports that the caller has closed its connection. */
  readonly depart: (call: CallId) => void;
  readonly drain: () => void;
  /** Number of calls that have not ended. */
  readonly running: () => number;
}

interface OpenSend {
  readonly connection: Disposable;
  answer: UpstreamResponse | null;
  /** Gives back the memory of the answer. */
  release: () => void;
}

/** Creates the port. `findInternalCall` finds calls that the daemon itself creates. */
export const createCallPort = (
  world: World,
  client: UpstreamClient,
  dialect: UpstreamDialect,
  findInternalCall: (call: CallId) => PendingCall | undefined,
  clock: Clock,
  wake: () => void,
  unreadAnswers?: UnreadAnswers,
): CallPort => {
  const pendingCalls = new Map<CallId, PendingCall>();
  const hostByCall = new Map<CallId, string>();
  const openSends = new Map<SendId, OpenSend>();
  const collector = createAnswerCollector(world.deployment.limits, unreadAnswers);
  const sendNamed = createNamedSender(world, client, dialect, 'call', wake);
  const callChanges = world.calls.createChangeReader(RowReader.Port);
  const sendChanges = world.sends.createChangeReader(RowReader.Port);

  const report = (fact: SendFact): void => {
    world.sendFacts.append(fact);
    wake();
  };

  const findPendingCall = (call: CallId): PendingCall | undefined => {
    const pending = pendingCalls.get(call) ?? findInternalCall(call);
    if (pending !== undefined) pendingCalls.set(call, pending);
    return pending;
  };

  const recordResponse = (
    send: SendRow,
    { head, ...owned }: OwnedResponse,
    collected: CollectedAnswer,
  ): void => {
    const openSend = openSends.get(send.id);
    if (openSend !== undefined) {
      const body = collected.take();
      openSend.answer = { ...head, body, isDelimited: isDelimitedResponse(head) };
      openSend.release = collected.release;
    }
    const hasFailed = owned.class === ResponseClass.Failed;
    report({ kind: 'answered', send: send.id, status: head.status, hasFailed });
  };

  const handleResponse = (send: SendRow, owned: OwnedResponse): void => {
    const { head, message: response } = owned;
    let hasEnded = false;
    const reportBroken = (reason: string): void => {
      if (hasEnded) return;
      hasEnded = true;
      report({ kind: 'broken', send: send.id, reason });
    };
    const answer = collector.open((reason) => {
      reportBroken(reason);
      response.destroy();
    });
    answer.waitForRoom(Number(head.headers['content-length'] ?? 0), () => {
      response.on('data', answer.add);
    });
    response.on('error', (error) => reportBroken(error.message));
    response.on('close', () => {
      answer.discard();
      reportBroken('connection closed before the end of the response');
    });
    response.on('end', () => {
      if (hasEnded || !response.complete) return;
      hasEnded = true;
      if (owned.class === ResponseClass.NotRun) {
        report({ kind: 'notRun', send: send.id, reason: `status ${head.status}` });
      } else if (dialect.promisesNotRun(head.status)) {
        const reason = `status ${head.status} without a statement that the request did not run`;
        report({ kind: 'broken', send: send.id, reason });
      } else recordResponse(send, owned, answer);
    });
  };

  const startSend = (send: SendRow): void => {
    const call = world.calls.get(send.call);
    const upstream = world.registrations.get(send.upstream);
    const pending = call === undefined ? undefined : findPendingCall(call.id);
    if (call === undefined || upstream === undefined || pending === undefined) {
      report({ kind: 'notRun', send: send.id, reason: 'call or upstream no longer exists' });
      return;
    }
    // The process may have been suspended since the permit was taken.
    if (clock() >= send.permitDeadline) {
      report({ kind: 'notRun', send: send.id, reason: 'permit for the cold upstream expired' });
      return;
    }
    const headers = dialect.createHeaders({
      host: hostByCall.get(call.id) ?? pending.content.headers.host ?? '',
      requestId: call.requestId,
      upstream: upstream.id,
      workspace: call.workspace,
      remaining: Number.isFinite(call.callDeadline)
        ? remainingUntil(call.callDeadline, clock())
        : null,
      lastEventId: null,
      expectedVersion: null,
    });
    const target = {
      address: upstream.address,
      content: pending.content,
      headers,
      requestId: call.requestId,
      start: { upstream: upstream.id, startedAt: upstream.startedAt },
    };
    const connection = sendNamed(target, {
      onDidReceiveResponse: (response) => handleResponse(send, response),
      onDidFail: (reason, isNotRun) =>
        report(
          isNotRun
            ? {
                kind: 'notRun',
                send: send.id,
                reason,
                isConnectionRefused: reason === connectionRefusedCode,
              }
            : { kind: 'broken', send: send.id, reason },
        ),
    });
    openSends.set(send.id, { connection, answer: null, release: () => {} });
  };

  const computeOutcome = (call: CallRow): CallOutcome => {
    const answer = call.answer === null ? null : (openSends.get(call.answer)?.answer ?? null);
    if (call.state === CallState.Answered && answer !== null) return { kind: 'answered', answer };
    if (call.refusal !== null) return { kind: 'refused', refusal: call.refusal };
    return { kind: 'cancelled' };
  };

  const resolveCall = (id: CallId): void => {
    const call = world.calls.get(id);
    if (call === undefined || !hasCallEnded(call)) return;
    const pending = pendingCalls.get(id);
    pendingCalls.delete(id);
    hostByCall.delete(id);
    pending?.onDidEnd(computeOutcome(call));
  };

  const handleSendChange = (id: SendId): void => {
    const send = world.sends.get(id);
    if (send?.state === SendState.Running) {
      if (!openSends.has(id)) startSend(send);
      return;
    }
    const openSend = openSends.get(id);
    openSends.delete(id);
    openSend?.release();
    if (openSend?.answer !== null) return;
    openSend.connection.dispose();
    const upstream = send === undefined ? undefined : world.registrations.get(send.upstream);
    if (upstream !== undefined) client.closeIdleConnections(upstream.address);
  };

  return {
    submit: (arrived, pending) => {
      pendingCalls.set(arrived.id, pending);
      hostByCall.set(arrived.id, arrived.host);
      world.arrivedCalls.append(arrived);
      wake();
    },
    depart: (call) => {
      if (!pendingCalls.has(call)) return;
      world.departedCalls.append(call);
      wake();
    },
    drain: () => {
      callChanges.take().forEach(resolveCall);
      sendChanges.take().forEach(handleSendChange);
    },
    running: () => pendingCalls.size,
    dispose: () => {
      callChanges.dispose();
      sendChanges.dispose();
      openSends.forEach(({ connection }) => connection.dispose());
    },
  };
};
