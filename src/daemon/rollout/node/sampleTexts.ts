/**
 * The texts of samples while they are made: by attempt, until the sample is in the ledger or is run again.
 */
import { createParser } from 'eventsource-parser';
import { Result } from 'neverthrow';
import type { Disposable } from '../../../base/common/disposable.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import {
  engineChunkSchema,
  streamEndMarker,
} from '../../../service/protocol/common/engineProtocol.js';
import { textBodyIdOf } from '../../../service/rollout/common/runs.js';
import { RunState } from '../../../service/rollout/common/runRows.js';
import type { AttemptId, BodyId, SampleId } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';
import type { ResponseSink } from '../../exchange/node/exchange.js';

/** The texts that are being made on this daemon; `drain` is run after each tick. */
export interface SampleTexts extends Disposable {
  /** Where the answer of an attempt for a sample goes. */
  readonly sinkFor: (sample: SampleId, attempt: AttemptId) => ResponseSink;
  readonly find: (body: BodyId) => string | undefined;
  readonly size: () => number;
  readonly drain: () => void;
}

const readText = Result.fromThrowable(
  (data: string): string => {
    const [choice] = engineChunkSchema.parse(JSON.parse(data)).choices;
    return choice?.text ?? choice?.delta?.content ?? '';
  },
  () => undefined,
);

const createTextSink = (append: (text: string) => void): ResponseSink => {
  const decoder = new TextDecoder();
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data !== streamEndMarker) readText(data).map(append);
    },
  });
  return {
    writeHead: () => {},
    write: (chunk) => parser.feed(decoder.decode(chunk, { stream: true })),
    waitForDrain: () => Promise.resolve(),
  };
};

/** Creates the empty store. */
export const createSampleTexts = (world: World): SampleTexts => {
  const changes = world.sampleRuns.createChangeReader(RowReader.Port);
  const texts = new Map<BodyId, string>();
  const bodiesOf = new Map<SampleId, BodyId[]>();

  const forget = (sample: SampleId): void => {
    bodiesOf.get(sample)?.forEach((body) => texts.delete(body));
    bodiesOf.delete(sample);
  };

  return {
    sinkFor: (sample, attempt) => {
      const body = textBodyIdOf(sample, attempt);
      bodiesOf.set(sample, [...(bodiesOf.get(sample) ?? []), body]);
      texts.set(body, '');
      return createTextSink((text) => {
        const before = texts.get(body);
        if (before !== undefined) texts.set(body, `${before}${text}`);
      });
    },
    find: (body) => texts.get(body),
    size: () => texts.size,
    drain: () =>
      changes.take().forEach((id) => {
        const run = world.sampleRuns.get(id);
        if (run === undefined || run.state === RunState.Waiting) forget(id);
      }),
    dispose: changes.dispose,
  };
};
