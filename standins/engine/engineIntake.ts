/**
 * The receiving side of the model engine stand-in: inserts decoded requests into the request table
 * and cancels requests whose connection was closed.
 */
import { asBrand } from '../../src/base/common/brand.js';
import { never } from '../../src/base/common/time.js';
import {
  priorityHeader,
  resumeOffsetField,
} from '../../src/service/protocol/common/engineProtocol.js';
import type { Counters } from '../common/counters.js';
import { FaultScope, type FaultScript } from '../faults/faultScript.js';
import { planOf } from '../faults/faults.js';
import { promptOf, type ReceivedRequest } from './engineEncoding.js';
import type { EngineCounter } from './engineSettings.js';
import { openStates, RequestState, type RequestId, type RequestTable } from './engineTables.js';
import { tokenCountOf } from './engineText.js';

/** Inserts requests, and cancels or crashes them on external events. */
export interface EngineIntake {
  readonly handleRequest: (received: ReceivedRequest) => RequestId;
  /** Cancels a request whose caller closed the connection; no effect if the request has ended. */
  readonly cancel: (id: RequestId) => void;
  /** Marks every open request as crashed. */
  readonly crashOpenRequests: () => void;
}

/** Creates the intake; `wake` schedules a tick. */
export const createEngineIntake = (
  requests: RequestTable,
  counters: Counters<EngineCounter>,
  script: FaultScript,
  wake: () => void,
): EngineIntake => {
  const endIfOpen = (id: RequestId, state: RequestState, counter: EngineCounter): void => {
    const row = requests.get(id);
    if (row === undefined || !openStates.includes(row.state)) return;
    requests.change(id, { state });
    counters.add(counter);
    wake();
  };

  return {
    handleRequest: ({ path, headers, text, body }) => {
      counters.add('received');
      const number = counters.read().received;
      const id: RequestId = asBrand(String(number));
      const prompt = promptOf(body);
      requests.put({
        id,
        path,
        headers,
        body: text,
        model: body.model,
        prompt,
        isStreamed: body.stream ?? false,
        priority: Number(headers[priorityHeader] ?? 0),
        plan: planOf(script.takeFault(FaultScope.Request, number, prompt)),
        state: RequestState.Queued,
        firstToken: body[resumeOffsetField] ?? 0,
        endToken: body.max_tokens ?? tokenCountOf(prompt),
        tokensSent: 0,
        weightVersions: [],
        nextTokenDeadline: never,
      });
      wake();
      return id;
    },
    cancel: (id) => endIfOpen(id, RequestState.Cancelled, 'cancelled'),
    crashOpenRequests: () =>
      openStates
        .flatMap((state) => requests.where('state', state))
        .forEach((row) => endIfOpen(row.id, RequestState.Crashed, 'crashed')),
  };
};
