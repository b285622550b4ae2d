/**
 * Gives batches to trainers. A batch is made of whole groups; the same cursor gets the same batch again,
 * and asking for a later cursor acknowledges the batches before it.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../platform/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { BatchId, LotId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import {
  FetchState,
  LotState,
  SampleState,
  type BatchRow,
  type FetchRow,
  type GroupRow,
  type LotRow,
  type SampleRow,
} from './rolloutTables.js';
import { isStale, replanSample } from './sampleSystem.js';

/** The identifier of the batch of a cursor. */
export const batchIdOf = (lot: LotId, cursor: number): BatchId => asBrand(`${lot}/${cursor}`);

const acknowledge = (world: World, batch: BatchRow): void => {
  world.batches.change(batch.id, { acknowledged: true });
  batch.samples.forEach((sample) =>
    world.samples.change(sample, { state: SampleState.Acknowledged }),
  );
  world.events.append({
    kind: EventKind.BatchAcknowledged,
    subject: { batch: batch.id, lot: batch.lot, cursor: batch.cursor },
  });
};

const acknowledgeBefore = (world: World, lot: LotRow, cursor: number): void =>
  world.batches
    .where('lot', lot.id)
    .filter((batch) => batch.cursor < cursor && !batch.acknowledged)
    .forEach((batch) => acknowledge(world, batch));

const discardStale = (world: World, lot: LotRow, now: Instant): void =>
  world.samples
    .where('lot', lot.id)
    .filter((sample) => sample.state === SampleState.Complete && isStale(sample.spans, lot))
    .forEach((sample) => replanSample(world, sample, 'stale', now));

const isWhole = (world: World, lot: LotRow, group: GroupRow): boolean =>
  world.samples.count('groupState', `${group.id}/${SampleState.Complete}`) === lot.groupSize;

const deliverableSamples = (world: World, lot: LotRow): SampleRow[] =>
  world.groups
    .where('lot', lot.id)
    .filter((group) => isWhole(world, lot, group))
    .flatMap((group) => world.samples.where('group', group.id));

const isUndelivered = (sample: SampleRow): boolean =>
  sample.state !== SampleState.Assigned && sample.state !== SampleState.Acknowledged;

const assignBatch = (
  world: World,
  lot: LotRow,
  cursor: number,
  samples: readonly SampleRow[],
): BatchRow => {
  samples.forEach((sample) => world.samples.change(sample.id, { state: SampleState.Assigned }));
  const isLast = !world.samples.where('lot', lot.id).some(isUndelivered);
  const batch = world.batches.put({
    id: batchIdOf(lot.id, cursor),
    lot: lot.id,
    cursor,
    samples: samples.map((sample) => sample.id),
    nextCursor: isLast ? null : cursor + 1,
    acknowledged: false,
  });
  world.lots.change(lot.id, {
    nextCursor: cursor + 1,
    state: isLast ? LotState.Delivered : lot.state,
  });
  world.events.append({
    kind: EventKind.BatchAssigned,
    subject: { batch: batch.id, lot: lot.id, cursor, samples: samples.length },
  });
  if (isLast) world.events.append({ kind: EventKind.LotComplete, subject: { lot: lot.id } });
  return batch;
};

const findOrAssignBatch = (
  world: World,
  lot: LotRow,
  cursor: number,
  now: Instant,
): BatchRow | undefined => {
  const existing = world.batches.get(batchIdOf(lot.id, cursor));
  if (existing !== undefined) return existing;
  if (cursor !== lot.nextCursor) return undefined;
  discardStale(world, lot, now);
  const samples = deliverableSamples(world, lot);
  return samples.length === 0 ? undefined : assignBatch(world, lot, cursor, samples);
};

const answerFetch = (world: World, fetch: FetchRow, now: Instant): void => {
  const lot = world.lots.get(fetch.lot);
  if (lot === undefined || lot.workspace !== fetch.workspace) {
    world.fetches.change(fetch.id, { state: FetchState.Refused });
    return;
  }
  const trainerVersion = Math.max(lot.trainerVersion, fetch.trainerVersion ?? 0);
  const current = world.lots.change(lot.id, { trainerVersion })!;
  acknowledgeBefore(world, current, fetch.cursor);
  const batch = findOrAssignBatch(world, current, fetch.cursor, now);
  if (batch !== undefined) {
    world.fetches.change(fetch.id, { state: FetchState.Ready, batch: batch.id });
    return;
  }
  const state = fetch.fetchDeadline <= now ? FetchState.NotReady : FetchState.Waiting;
  if (state !== fetch.state) world.fetches.change(fetch.id, { state });
};

/** Creates the system of deliveries. */
export const createFetchSystem = (world: World): System => {
  const fetchChanges = world.fetches.readChanges();
  const sampleChanges = world.samples.readChanges();

  const lotsWithChanges = (): Set<LotId> =>
    new Set(sampleChanges.take().flatMap((id) => world.samples.get(id)?.lot ?? []));

  const waitingOf = (lot: LotId): FetchRow[] =>
    world.fetches.where('lot', lot).filter((fetch) => fetch.state === FetchState.Waiting);

  return {
    name: 'fetch',
    run: (now) => {
      fetchChanges.take().forEach((id) => {
        const fetch = world.fetches.get(id);
        if (fetch?.state === FetchState.Arrived) answerFetch(world, fetch, now);
      });
      lotsWithChanges().forEach((lot) =>
        waitingOf(lot).forEach((fetch) => answerFetch(world, fetch, now)),
      );
      world.fetches.takeDue('fetch', now).forEach((fetch) => answerFetch(world, fetch, now));
    },
  };
};
