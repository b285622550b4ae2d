/**
 * Sends the contents of a storing to one holder, in batches of which a limited number is unanswered.
 */
import { asBrand } from '../../../base/common/brand.js';
import { computeEncodedBytes } from '../../../base/common/encodedSize.js';
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import {
  divideIntoBatches,
  maximumBatchBytes,
  maximumUnacknowledgedBytes,
} from '../../../infrastructure/wire/common/frameLimits.js';
import type { DaemonId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { Content } from './contentMessages.js';
import {
  ContentCopyState,
  type ContentCopyId,
  type ContentCopyRow,
  type ContentStoringId,
  type ContentStoringRow,
} from './contentTables.js';

/**
 * Time in which a holder syncs a batch and answers, or is replaced. A batch takes 0.1 s at 20 Mbit/s,
 * and two replacements fit the 3 s that a submission has for storing its contents.
 */
export const answerMilliseconds: Milliseconds = 700;

/** Batches that are sent to a holder and not yet answered. */
const maximumUnansweredBatches = Math.floor(maximumUnacknowledgedBytes / maximumBatchBytes);

/** Identifies the copy of a storing at a holder. */
export const copyIdOf = (storing: ContentStoringId, daemon: DaemonId): ContentCopyId =>
  asBrand(`${storing}@${daemon}`);

/** Divides contents into batches that each fit one message. */
export const divideContents = (contents: readonly Content[]): readonly (readonly Content[])[] =>
  divideIntoBatches(contents, computeEncodedBytes, {
    maximumRows: Number.POSITIVE_INFINITY,
    maximumBytes: maximumBatchBytes,
  });

const sendBatch = (
  world: World,
  { id: storing, job, batches }: ContentStoringRow,
  daemon: DaemonId,
  batch: number,
): void => {
  const contents = batches[batch]!;
  if (daemon === world.self.name)
    world.contentWrites.append({ job, contents, offer: { from: daemon, storing, batch } });
  else
    world.outgoingMessages.append({
      to: daemon,
      message: { kind: 'jobContentsOffered', storing, batch, job, contents },
    });
};

/** Sends the next batches of a copy, as many as may be unanswered. */
export const sendBatches = (
  world: World,
  storing: ContentStoringRow,
  copy: ContentCopyRow,
): void => {
  const end = Math.min(
    storing.batches.length,
    copy.storedBatches.length + maximumUnansweredBatches,
  );
  for (let batch = copy.sentBatches; batch < end; batch += 1)
    sendBatch(world, storing, copy.daemon, batch);
  world.contentCopies.change(copy.id, { sentBatches: Math.max(end, copy.sentBatches) });
};

/** Sends all contents to a holder, from the first batch on. */
export const startCopy = (
  world: World,
  storing: ContentStoringRow,
  daemon: DaemonId,
  now: Instant,
): void => {
  const copy = world.contentCopies.put({
    id: copyIdOf(storing.id, daemon),
    storing: storing.id,
    daemon,
    state: storing.batches.length === 0 ? ContentCopyState.Stored : ContentCopyState.Sending,
    sentBatches: 0,
    storedBatches: [],
    answerDeadline: deadlineAfter(now, answerMilliseconds),
  });
  sendBatches(world, storing, copy);
};
