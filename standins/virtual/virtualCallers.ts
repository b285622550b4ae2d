/**
 * Fake callers on virtual time: they insert request rows into the tables of a daemon and record the
 * outcome of each call.
 */
import type { Instant, Milliseconds } from '../../src/base/common/time.js';
import { RowReader } from '../../src/infrastructure/tables/common/rowReader.js';
import { createRequestRow, type DecodedRequest } from '../../src/daemon/front/node/submission.js';
import { hasRequestEnded } from '../../src/service/traffic/common/endRequest.js';
import type { Refusal } from '../../src/service/traffic/common/refusal.js';
import { RequestState, type RequestRow } from '../../src/service/traffic/common/trafficTables.js';
import type { RequestId } from '../../src/service/world/common/identifiers.js';
import type { VirtualContext, VirtualPort } from './virtualInstallation.js';

/** One call and its outcome as the caller observed it. */
export interface Call {
  readonly number: number;
  readonly daemon: string;
  readonly decoded: DecodedRequest;
  readonly sentAt: Instant;
  request: RequestId | null;
  /** The final state of the request, or `connectionLost` if the daemon stopped first. */
  outcome: RequestState | 'connectionLost' | null;
  refusal: Refusal | null;
  endedAt: Instant | null;
}

/** The fake callers of one installation. */
export interface VirtualCallers {
  /** Creates the caller port of one daemon process. */
  readonly createPort: (context: VirtualContext) => VirtualPort;
  /** Sends a request to a daemon; the connection is refused if the daemon is not running. */
  readonly send: (daemon: string, decoded: DecodedRequest) => Call;
  /** Closes the connection of a call. */
  readonly depart: (call: Call) => void;
  /** Fails the open calls of a daemon that has stopped with `connectionLost`. */
  readonly disconnectCallers: (daemon: string, at: Instant) => void;
  readonly calls: () => readonly Call[];
}

/** Creates callers with a one-way latency of `latency` milliseconds to every daemon. */
export const createVirtualCallers = (latency: Milliseconds): VirtualCallers => {
  const contextByDaemon = new Map<string, VirtualContext>();
  const calls: Call[] = [];
  const openCalls = new Map<RequestId, Call>();

  const endCall = (call: Call, columns: Partial<Call>): void => {
    if (call.outcome !== null) return;
    Object.assign(call, columns);
    if (call.request !== null) openCalls.delete(call.request);
  };

  const deliverRequest = (context: VirtualContext, call: Call): void => {
    const { world } = context.daemon.core;
    const request = world.identifiers.next<RequestId>('request');
    Object.assign(call, { request });
    openCalls.set(request, call);
    world.requests.put(createRequestRow(call.decoded, request, context.now()));
  };

  const handleRequestEnd = (context: VirtualContext, row: RequestRow): void => {
    const call = openCalls.get(row.id);
    if (call === undefined || !hasRequestEnded(row)) return;
    endCall(call, { outcome: row.state, refusal: row.refusal, endedAt: context.now() + latency });
  };

  return {
    createPort: (context) => {
      contextByDaemon.set(context.daemon.name, context);
      const { world } = context.daemon.core;
      const changes = world.requests.createChangeReader(RowReader.Port);
      return {
        drain: () =>
          changes.take().forEach((id) => {
            const row = world.requests.get(id);
            if (row !== undefined) handleRequestEnd(context, row);
          }),
      };
    },
    send: (daemon, decoded) => {
      const context = contextByDaemon.get(daemon);
      const sentAt = context?.now() ?? 0;
      const call: Call = {
        number: calls.length,
        daemon,
        decoded,
        sentAt,
        request: null,
        outcome: null,
        refusal: null,
        endedAt: null,
      };
      calls.push(call);
      if (context === undefined) endCall(call, { outcome: 'connectionLost', endedAt: sentAt });
      context?.schedule(latency, () => deliverRequest(context, call));
      return call;
    },
    depart: (call) => {
      const context = contextByDaemon.get(call.daemon);
      context?.schedule(latency, () => {
        if (call.request !== null) context.daemon.core.world.departures.append(call.request);
      });
    },
    disconnectCallers: (daemon, at) => {
      contextByDaemon.delete(daemon);
      calls
        .filter((call) => call.daemon === daemon)
        .forEach((call) => endCall(call, { outcome: 'connectionLost', endedAt: at }));
    },
    calls: () => calls,
  };
};
