/**
 * The HTTP client of the trainer stand-in: opens lots, requests batches and decodes the answers.
 */
import { err, ok, type Result } from 'neverthrow';
import { Agent, request, type Dispatcher } from 'undici';
import { parseJson } from '../common/json.js';
import {
  batchPathOf,
  batchSchema,
  batchStatus,
  lotAnswerSchema,
  lotOpenedStatus,
  lotsPath,
  notReadySchema,
  notReadyStatus,
  type Batch,
  type LotRequest,
} from './trainerProtocol.js';
import type { TrainerError } from './trainerTables.js';

/** The result of a batch request. */
export type BatchAnswer =
  | { readonly kind: 'delivered'; readonly batch: Batch }
  | { readonly kind: 'notReady'; readonly retryAfter: number }
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'refused'; readonly error: TrainerError };

/** Sends requests to entries. */
export interface TrainerPort {
  readonly openLot: (entry: string, lot: LotRequest) => Promise<Result<string, TrainerError>>;
  readonly requestBatch: (entry: string, lot: string, cursor: string) => Promise<BatchAnswer>;
  readonly dispose: () => Promise<void>;
}

interface HttpAnswer {
  readonly status: number;
  readonly text: string;
}

const firstServerErrorStatus = 500;

const createInvalidAnswerError = (text: string): TrainerError => ({
  kind: 'answerNotUnderstood',
  message: `The entry sent an invalid answer: ${text}; use compatible versions.`,
});

const createRefusedError = ({ status, text }: HttpAnswer): TrainerError => ({
  kind: 'lotRefused',
  status,
  message: `The entry answered with status ${status}: ${text}; correct the lot or the key.`,
});

const readDelivered = ({ text }: HttpAnswer): BatchAnswer => {
  const batch = batchSchema.safeParse(parseJson(text));
  if (batch.success) return { kind: 'delivered', batch: batch.data };
  return { kind: 'refused', error: createInvalidAnswerError(text) };
};

const readNotReady = ({ text }: HttpAnswer): BatchAnswer => {
  const notReady = notReadySchema.safeParse(parseJson(text));
  if (notReady.success) return { kind: 'notReady', retryAfter: notReady.data.retryAfter };
  return { kind: 'refused', error: createInvalidAnswerError(text) };
};

const batchReaders: Readonly<Record<number, (answer: HttpAnswer) => BatchAnswer>> = {
  [batchStatus]: readDelivered,
  [notReadyStatus]: readNotReady,
};

const readOtherStatus = (answer: HttpAnswer): BatchAnswer =>
  answer.status >= firstServerErrorStatus
    ? { kind: 'unreachable' }
    : { kind: 'refused', error: createRefusedError(answer) };

/** Creates the port; `key` is sent with every request. */
export const createTrainerPort = (key: string): TrainerPort => {
  const agent = new Agent();
  const headers = { authorization: `Bearer ${key}`, 'content-type': 'application/json' };

  const send = async (
    url: string,
    method: Dispatcher.HttpMethod,
    body: string | null,
  ): Promise<Result<HttpAnswer, TrainerError>> => {
    try {
      const answer = await request(url, { dispatcher: agent, method, headers, body });
      return ok({ status: answer.statusCode, text: await answer.body.text() });
    } catch (error) {
      const message = `${url} did not answer (${String(error)}); use another entry.`;
      return err({ kind: 'entryUnreachable', message });
    }
  };

  const readLot = (answer: HttpAnswer): Result<string, TrainerError> => {
    if (answer.status !== lotOpenedStatus) return err(createRefusedError(answer));
    const opened = lotAnswerSchema.safeParse(parseJson(answer.text));
    return opened.success ? ok(opened.data.lot) : err(createInvalidAnswerError(answer.text));
  };

  return {
    openLot: async (entry, lot) => {
      const answer = await send(`${entry}${lotsPath}`, 'POST', JSON.stringify(lot));
      return answer.andThen(readLot);
    },
    requestBatch: async (entry, lot, cursor) => {
      const answer = await send(`${entry}${batchPathOf(lot, cursor)}`, 'GET', null);
      return answer.match(
        (httpAnswer): BatchAnswer =>
          (batchReaders[httpAnswer.status] ?? readOtherStatus)(httpAnswer),
        (): BatchAnswer => ({ kind: 'unreachable' }),
      );
    },
    dispose: () => agent.destroy(),
  };
};
