/**
 * Changes of the replicated rows: completion, acknowledgement, assignment and withdrawal. Each
 * change may depend only on replicated rows and its arguments, so that all control daemons stay
 * identical.
 */
import { asBrand } from '../../../base/common/brand.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { VersionSpan } from '../../traffic/common/trafficTables.js';
import type { AttemptId, BatchId, LotId, SampleId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { LotState, SampleState, type BatchRow, type LotRow, type SampleRow } from './ledgerRows.js';
import { isStale } from './staleness.js';

/** A sample whose text the owner of its lot has stored. */
export interface SampleCompletion {
  readonly sample: string;
  readonly attempt: string;
  readonly holders: readonly string[];
  readonly spans: readonly VersionSpan[];
}

/** Returns the identifier of the batch at a cursor. */
export const batchIdOf = (lot: LotId, cursor: number): BatchId => asBrand(`${lot}/${cursor}`);

/** Completes a sample if it is still planned and the completion is not stale. */
export const completeSample = (world: World, lot: LotRow, completion: SampleCompletion): void => {
  const sample = world.samples.get(asBrand<SampleId>(completion.sample));
  const isExpected = sample?.lot === lot.id && sample.state === SampleState.Planned;
  if (!isExpected || isStale(completion.spans, lot)) {
    world.metrics.count('ledger.completionsIgnored');
    return;
  }
  world.samples.change(sample.id, {
    state: SampleState.Complete,
    attempt: asBrand<AttemptId>(completion.attempt),
    spans: completion.spans,
    holders: completion.holders.map((holder) => asBrand(holder)),
  });
  world.events.append({
    kind: EventKind.SampleComplete,
    subject: { sample: sample.id, lot: lot.id, attempt: completion.attempt },
  });
};

const resetToPlanned = (world: World, sample: SampleRow, reason: string): void => {
  world.samples.change(sample.id, {
    state: SampleState.Planned,
    attempt: null,
    spans: [],
    holders: [],
  });
  world.metrics.count('samples.discarded', 1, { reason });
  world.events.append({
    kind: EventKind.SampleDiscarded,
    subject: { sample: sample.id, lot: sample.lot, reason },
  });
};

const acknowledgeBatch = (world: World, batch: BatchRow): void => {
  world.batches.change(batch.id, { acknowledged: true });
  batch.samples.forEach((sample) =>
    world.samples.change(sample, { state: SampleState.Acknowledged }),
  );
  world.events.append({
    kind: EventKind.BatchAcknowledged,
    subject: { batch: batch.id, lot: batch.lot, cursor: batch.cursor },
  });
};

/** Returns the unacknowledged batch before a cursor, if any; only the last batch can be that. */
const findUnacknowledgedBatch = (
  world: World,
  lot: LotRow,
  cursor: number,
): BatchRow | undefined => {
  const last = world.batches.get(batchIdOf(lot.id, lot.nextCursor - 1));
  return last !== undefined && last.cursor < cursor && !last.acknowledged ? last : undefined;
};

const discardStaleSamples = (world: World, lot: LotRow): void =>
  world.samples
    .where('lotState', `${lot.id}/${SampleState.Complete}`)
    .filter((sample) => isStale(sample.spans, lot))
    .forEach((sample) => resetToPlanned(world, sample, 'stale'));

/**
 * Acknowledges the batches before the cursor, raises the trainer's version and discards stale
 * samples.
 */
export const advanceTrainer = (
  world: World,
  lot: LotRow,
  cursor: number,
  trainerVersion: number,
): void => {
  const batch = findUnacknowledgedBatch(world, lot, cursor);
  if (batch !== undefined) acknowledgeBatch(world, batch);
  const isLotAcknowledged = batch?.nextCursor === null && lot.state === LotState.Delivered;
  if (isLotAcknowledged) world.lots.change(lot.id, { state: LotState.Acknowledged });
  if (trainerVersion <= lot.trainerVersion) return;
  discardStaleSamples(world, world.lots.change(lot.id, { trainerVersion })!);
};

/** Assigns complete samples to the batch at the next cursor. */
export const assignSamples = (world: World, id: LotId, samples: readonly SampleRow[]): void => {
  const lot = world.lots.get(id)!;
  const cursor = lot.nextCursor;
  const undelivered = lot.undelivered - samples.length;
  const isLast = undelivered === 0;
  samples.forEach((sample) => world.samples.change(sample.id, { state: SampleState.Assigned }));
  const batch = world.batches.put({
    id: batchIdOf(id, cursor),
    lot: id,
    cursor,
    samples: samples.map((sample) => sample.id),
    nextCursor: isLast ? null : cursor + 1,
    acknowledged: false,
  });
  const state = isLast ? LotState.Delivered : lot.state;
  world.lots.change(id, { nextCursor: cursor + 1, undelivered, state });
  const subject = { batch: batch.id, lot: id, cursor, samples: samples.length };
  world.events.append({ kind: EventKind.BatchAssigned, subject });
  if (isLast) world.events.append({ kind: EventKind.LotComplete, subject: { lot: id } });
};

/**
 * Whether a batch contains samples that exceed the staleness bound at the given trainer version.
 */
export const isBatchStale = (
  world: World,
  lot: LotRow,
  batch: BatchRow,
  trainerVersion: number,
): boolean => {
  const limit = { ...lot, trainerVersion: Math.max(trainerVersion, lot.trainerVersion) };
  return batch.samples.some((id) => isStale(world.samples.get(id)!.spans, limit));
};

/**
 * Withdraws the last batch if it is unacknowledged and contains stale samples. The trainer's
 * repeated request for its cursor shows that the batch was not used; the cursor is then assigned
 * another batch.
 */
export const withdrawBatch = (
  world: World,
  lot: LotRow,
  cursor: number,
  trainerVersion: number,
): void => {
  const batch = world.batches.get(batchIdOf(lot.id, cursor));
  if (batch === undefined || batch.acknowledged || cursor !== lot.nextCursor - 1) return;
  if (!isBatchStale(world, lot, batch, trainerVersion)) return;
  batch.samples.forEach((id) => world.samples.change(id, { state: SampleState.Complete }));
  world.batches.remove(batch.id);
  const updatedLot = world.lots.change(lot.id, {
    state: LotState.Open,
    nextCursor: cursor,
    undelivered: lot.undelivered + batch.samples.length,
    trainerVersion: Math.max(trainerVersion, lot.trainerVersion),
  })!;
  const subject = { batch: batch.id, lot: lot.id, cursor, trainerVersion };
  world.events.append({ kind: EventKind.BatchWithdrawn, subject });
  discardStaleSamples(world, updatedLot);
};
