/**
 * The port of calls: sends them to the upstreams that systems have chosen, keeps each answer until it is
 * whole, and hands the one that counts to whoever made the call.
 */
import type { IncomingMessage } from 'node:http';
import type { Disposable } from '../../../base/common/disposable.js';
import { remainingUntil, type Clock } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import type { CallRefusal } from '../../../service/forwarding/common/callRefusal.js';
import {
  CallState,
  isEndedCall,
  SendState,
  type ArrivedCall,
  type CallId,
  type CallRow,
  type SendFact,
  type SendId,
  type SendRow,
} from '../../../service/forwarding/common/forwardingTables.js';
import type { World } from '../../../service/world/common/world.js';
import { headersOf, type UpstreamClient } from './upstreamClient.js';
import {
  AnswerMeaning,
  type AnswerHead,
  type RequestContent,
  type UpstreamDialect,
} from './upstreamDialect.js';

/** A whole answer of an upstream. */
export interface UpstreamAnswer extends AnswerHead {
  readonly body: Buffer;
}

/** How a call ended for whoever made it. */
export type CallEnd =
  | { readonly kind: 'answered'; readonly answer: UpstreamAnswer }
  | { readonly kind: 'refused'; readonly refusal: CallRefusal }
  | { readonly kind: 'cancelled' };

/** The bytes of a call, and who waits for its end. */
export interface CallBytes {
  readonly content: RequestContent;
  readonly onDidEnd: (end: CallEnd) => void;
}

export interface CallPort extends Disposable {
  readonly submit: (arrived: ArrivedCall, bytes: CallBytes) => void;
  /** The caller has closed the connection. */
  readonly depart: (call: CallId) => void;
  readonly drain: () => void;
  /** Calls that have not ended. */
  readonly running: () => number;
}

interface OpenSend {
  readonly connection: Disposable;
  answer: UpstreamAnswer | null;
}

/** Creates the port. `bytesOfOwn` finds the bytes of calls that the system itself makes. */
export const createCallPort = (
  world: World,
  client: UpstreamClient,
  dialect: UpstreamDialect,
  bytesOfOwn: (call: CallId) => CallBytes | undefined,
  clock: Clock,
  wake: () => void,
): CallPort => {
  const bytes = new Map<CallId, CallBytes>();
  const hosts = new Map<CallId, string>();
  const open = new Map<SendId, OpenSend>();
  const callChanges = world.calls.createChangeReader(RowReader.Port);
  const sendChanges = world.sends.createChangeReader(RowReader.Port);

  const report = (fact: SendFact): void => {
    world.sendFacts.append(fact);
    wake();
  };

  const bytesOf = (call: CallId): CallBytes | undefined => {
    const known = bytes.get(call) ?? bytesOfOwn(call);
    if (known !== undefined) bytes.set(call, known);
    return known;
  };

  const takeWhole = (send: SendRow, head: AnswerHead, chunks: readonly Buffer[]): void => {
    const row = open.get(send.id);
    if (row !== undefined) row.answer = { ...head, body: Buffer.concat(chunks) };
    report({ kind: 'answered', send: send.id, status: head.status });
  };

  const isOwnAnswer = (head: AnswerHead, requestId: string): boolean =>
    dialect.meaningOf(head, requestId) !== AnswerMeaning.Foreign;

  const takeResponse = (send: SendRow, call: CallRow, response: IncomingMessage): void => {
    const head: AnswerHead = { status: response.statusCode ?? 0, headers: headersOf(response) };
    if (!isOwnAnswer(head, call.requestId)) {
      response.destroy();
      report({ kind: 'broken', send: send.id, reason: 'foreign answer' });
      return;
    }
    const chunks: Buffer[] = [];
    let isOver = false;
    const breakOff = (reason: string): void => {
      if (isOver) return;
      isOver = true;
      report({ kind: 'broken', send: send.id, reason });
    };
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    response.on('error', (error) => breakOff(error.message));
    response.on('close', () => breakOff('closed early'));
    response.on('end', () => {
      if (isOver || !response.complete) return;
      isOver = true;
      if (dialect.meaningOf(head, call.requestId) === AnswerMeaning.NotRun) {
        report({ kind: 'notRun', send: send.id, reason: `status ${head.status}` });
      } else takeWhole(send, head, chunks);
    });
  };

  const start = (send: SendRow): void => {
    const call = world.calls.get(send.call);
    const upstream = world.registrations.get(send.upstream);
    const known = call === undefined ? undefined : bytesOf(call.id);
    if (call === undefined || upstream === undefined || known === undefined) {
      report({ kind: 'notRun', send: send.id, reason: 'upstream gone' });
      return;
    }
    const headers = dialect.headersOf({
      host: hosts.get(call.id) ?? known.content.headers.host ?? '',
      requestId: call.requestId,
      upstream: upstream.id,
      workspace: call.workspace,
      remaining: Number.isFinite(call.callDeadline)
        ? remainingUntil(call.callDeadline, clock())
        : null,
      lastEvent: null,
      expectedVersion: null,
    });
    const target = { address: upstream.address, content: known.content, headers };
    const connection = client.send(target, {
      onDidAnswer: (response) => takeResponse(send, call, response),
      onDidFail: (reason, isNotRun) =>
        report({ kind: isNotRun ? 'notRun' : 'broken', send: send.id, reason }),
    });
    open.set(send.id, { connection, answer: null });
  };

  const endOf = (call: CallRow): CallEnd => {
    const answer = call.answer === null ? null : (open.get(call.answer)?.answer ?? null);
    if (call.state === CallState.Answered && answer !== null) return { kind: 'answered', answer };
    if (call.refusal !== null) return { kind: 'refused', refusal: call.refusal };
    return { kind: 'cancelled' };
  };

  const settle = (id: CallId): void => {
    const call = world.calls.get(id);
    if (call === undefined || !isEndedCall(call)) return;
    const known = bytes.get(id);
    bytes.delete(id);
    hosts.delete(id);
    known?.onDidEnd(endOf(call));
  };

  const followSend = (id: SendId): void => {
    const send = world.sends.get(id);
    if (send?.state === SendState.Running) {
      if (!open.has(id)) start(send);
      return;
    }
    const row = open.get(id);
    open.delete(id);
    if (row?.answer !== null) return;
    row.connection.dispose();
    const upstream = send === undefined ? undefined : world.registrations.get(send.upstream);
    if (upstream !== undefined) client.dropIdle(upstream.address);
  };

  return {
    submit: (arrived, known) => {
      bytes.set(arrived.id, known);
      hosts.set(arrived.id, arrived.host);
      world.arrivedCalls.append(arrived);
      wake();
    },
    depart: (call) => {
      if (!bytes.has(call)) return;
      world.departedCalls.append(call);
      wake();
    },
    drain: () => {
      callChanges.take().forEach(settle);
      sendChanges.take().forEach(followSend);
    },
    running: () => bytes.size,
    dispose: () => {
      callChanges.dispose();
      sendChanges.dispose();
      open.forEach(({ connection }) => connection.dispose());
    },
  };
};
