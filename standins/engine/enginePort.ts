/**
 * The sending side of the model engine stand-in: writes the rows of the output table to the open
 * responses.
 */
import type { ServerResponse } from 'node:http';
import type { HandlerTable } from '../../src/base/common/handlers.js';
import { dispatchByKind } from '../../src/base/common/handlers.js';
import type { System } from '../../src/infrastructure/tables/common/tick.js';
import {
  engineRefusalHeader,
  engineRefusalStatus,
  streamEndMarker,
} from '../../src/service/protocol/common/engineProtocol.js';
import { lastChunk, serverSentEvent, tokenChunk, completeAnswer } from './engineEncoding.js';
import type {
  EngineOutputRow,
  EngineRequestRow,
  OutputTable,
  RequestId,
  RequestTable,
} from './engineTables.js';

/** The open responses and the system that writes to them. */
export interface EnginePort {
  readonly system: System;
  /** Registers the response of a request; it is removed when the response closes. */
  readonly open: (request: RequestId, response: ServerResponse) => void;
  /** Destroys the connection of every open response. */
  readonly cutAllConnections: () => void;
}

const streamHeaders = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' };
const jsonHeaders = { 'content-type': 'application/json' };

/** Destroys a connection after all written data has been flushed. */
const cutAfterFlush = (response: ServerResponse): void => {
  const destroySocket = (): void => {
    response.socket?.destroy();
  };
  if (response.writableLength === 0) destroySocket();
  else response.write(':\n\n', destroySocket);
};

const sendRefusal = (response: ServerResponse): void => {
  response.writeHead(engineRefusalStatus, { ...jsonHeaders, [engineRefusalHeader]: 'true' });
  const message = 'The engine has no free slot; retry the request at another upstream.';
  response.end(JSON.stringify({ error: { kind: 'notRun', message } }));
};

const outputHandlers: HandlerTable<EngineOutputRow, void, [EngineRequestRow, ServerResponse]> = {
  token: (output, row, response) => {
    if (!row.isStreamed) return;
    if (!response.headersSent) response.writeHead(200, streamHeaders);
    const chunk = tokenChunk(row, { ...output, tokens: 1 });
    response.write(serverSentEvent(JSON.stringify(chunk)));
  },
  end: (output, row, response) => {
    if (!row.isStreamed) {
      response.writeHead(200, jsonHeaders);
      response.end(JSON.stringify(completeAnswer(row, output)));
      return;
    }
    if (!response.headersSent) response.writeHead(200, streamHeaders);
    const chunk = lastChunk(row, { ...output, text: '', tokens: 0 });
    response.write(serverSentEvent(JSON.stringify(chunk)));
    response.end(serverSentEvent(streamEndMarker));
  },
  cut: (_output, _row, response) => cutAfterFlush(response),
  refusal: (_output, _row, response) => sendRefusal(response),
};

/** Creates the port over the tables of an engine. */
export const createEnginePort = (requests: RequestTable, outputs: OutputTable): EnginePort => {
  const responses = new Map<RequestId, ServerResponse>();
  const changes = outputs.createChangeReader();

  const writeOutput = (output: EngineOutputRow): void => {
    outputs.remove(output.id);
    const row = requests.get(output.request);
    const response = responses.get(output.request);
    if (row !== undefined && response !== undefined) {
      dispatchByKind(outputHandlers, output, row, response);
    }
  };

  return {
    system: {
      name: 'engineOutput',
      run: () =>
        changes
          .take()
          .map((id) => outputs.get(id))
          .filter((output) => output !== undefined)
          .forEach(writeOutput),
    },
    open: (request, response) => {
      responses.set(request, response);
      response.once('close', () => responses.delete(request));
    },
    cutAllConnections: () => responses.forEach((response) => response.socket?.destroy()),
  };
};
