/**
 * Texts of samples during generation, by attempt. They are kept until the sample is in the ledger
 * or is run again.
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

/** Texts being generated through this daemon; `drain` runs after each tick. */
export interface SampleTexts extends Disposable {
  /** Opens the sink for the response of an attempt at a sample. */
  readonly openSink: (sample: SampleId, attempt: AttemptId) => ResponseSink;
  readonly find: (body: BodyId) => string | undefined;
  readonly size: () => number;
  readonly drain: () => void;
}

const parseText = Result.fromThrowable(
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
      if (data !== streamEndMarker) parseText(data).map(append);
    },
  });
  return {
    writeHead: () => {},
    write: (chunk) => parser.feed(decoder.decode(chunk, { stream: true })),
    waitForDrain: () => Promise.resolve(),
  };
};

/** Creates an empty collection of texts. */
export const createSampleTexts = (world: World): SampleTexts => {
  const changes = world.sampleRuns.createChangeReader(RowReader.Port);
  const texts = new Map<BodyId, string>();
  const bodiesBySample = new Map<SampleId, BodyId[]>();

  const removeTexts = (sample: SampleId): void => {
    bodiesBySample.get(sample)?.forEach((body) => texts.delete(body));
    bodiesBySample.delete(sample);
  };

  return {
    openSink: (sample, attempt) => {
      const body = textBodyIdOf(sample, attempt);
      bodiesBySample.set(sample, [...(bodiesBySample.get(sample) ?? []), body]);
      texts.set(body, '');
      return createTextSink((text) => {
        const existing = texts.get(body);
        if (existing !== undefined) texts.set(body, `${existing}${text}`);
      });
    },
    find: (body) => texts.get(body),
    size: () => texts.size,
    drain: () =>
      changes.take().forEach((id) => {
        const run = world.sampleRuns.get(id);
        if (run === undefined || run.state === RunState.Waiting) removeTexts(id);
      }),
    dispose: changes.dispose,
  };
};
