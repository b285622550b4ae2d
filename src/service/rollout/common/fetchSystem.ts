/**
 * Delivers batches to trainers. A batch consists of complete groups and is committed to the ledger
 * before it is delivered; a fetch for a later cursor acknowledges the batches before it. A fetch is
 * answered only after a command proposed after its arrival has been applied on this daemon, so that
 * no daemon answers from outdated rows.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import type { GroupId, LotId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { releaseBodies, readBody } from './bodySystem.js';
import { ReadState } from './bodyRows.js';
import { batchIdOf, isBatchStale } from './ledgerChanges.js';
import type { LedgerCommand } from './ledgerCommands.js';
import { proposeOnce } from './ledgerProposals.js';
import { LotState, SampleState, type BatchRow, type LotRow, type SampleRow } from './ledgerRows.js';
import { createLotWatcher } from './lotWatcher.js';
import { textBodyIdOf } from './runs.js';
import { FetchState, ProposalPurpose, type FetchRow } from './runRows.js';
import { isStale } from './staleness.js';

const effectiveTrainerVersion = (lot: LotRow, fetch: FetchRow): number =>
  Math.max(lot.trainerVersion, fetch.trainerVersion ?? 0);

const deliverableSamples = (world: World, lot: LotRow, trainerVersion: number): SampleRow[] => {
  const completeSamples = world.samples
    .where('lotState', `${lot.id}/${SampleState.Complete}`)
    .filter((sample) => !isStale(sample.spans, { ...lot, trainerVersion }));
  const groups = new Map<GroupId, SampleRow[]>();
  completeSamples.forEach((sample) => {
    const group = groups.get(sample.group) ?? [];
    group.push(sample);
    groups.set(sample.group, group);
  });
  return [...groups.values()].filter((group) => group.length === lot.groupSize).flat();
};

const createDeliveryCommand = (world: World, lot: LotRow, fetch: FetchRow): LedgerCommand => {
  const { cursor } = fetch;
  const trainerVersion = effectiveTrainerVersion(lot, fetch);
  const commonFields = { lot: lot.id, cursor, trainerVersion };
  const existing = world.batches.get(batchIdOf(lot.id, cursor));
  if (existing !== undefined && isBatchStale(world, lot, existing, trainerVersion)) {
    return { kind: 'batchWithdrawn', ...commonFields };
  }
  const canAssign = cursor === lot.nextCursor && lot.state === LotState.Open;
  const samples = canAssign ? deliverableSamples(world, lot, trainerVersion) : [];
  return samples.length === 0
    ? { kind: 'trainerAdvanced', ...commonFields }
    : { kind: 'batchAssigned', ...commonFields, samples: samples.map((sample) => sample.id) };
};

const startCollecting = (world: World, fetch: FetchRow, batch: BatchRow, now: Instant): void => {
  world.fetches.change(fetch.id, { state: FetchState.Collecting, batch: batch.id });
  batch.samples.forEach((id) => {
    const { attempt, holders } = world.samples.get(id)!;
    readBody(world, fetch.id, { body: textBodyIdOf(id, attempt!), lot: batch.lot, holders }, now);
  });
};

/**
 * Returns the batch of the fetched cursor, or undefined if none is assigned or if the batch is
 * stale and not acknowledged.
 */
const findDeliverableBatch = (world: World, lot: LotRow, fetch: FetchRow): BatchRow | undefined => {
  const batch = world.batches.get(batchIdOf(lot.id, fetch.cursor));
  if (batch === undefined || batch.acknowledged) return batch;
  return isBatchStale(world, lot, batch, effectiveTrainerVersion(lot, fetch)) ? undefined : batch;
};

const answerConfirmedFetch = (
  world: World,
  lot: LotRow,
  fetch: FetchRow,
  now: Instant,
): boolean => {
  const batch = findDeliverableBatch(world, lot, fetch);
  if (batch !== undefined) {
    startCollecting(world, fetch, batch, now);
    return true;
  }
  const isEnded = lot.state === LotState.Acknowledged && fetch.cursor === lot.nextCursor;
  if (isEnded) world.fetches.change(fetch.id, { state: FetchState.Ended });
  return isEnded;
};

const shouldPropose = (fetch: FetchRow, command: LedgerCommand): boolean =>
  !fetch.isConfirmed || command.kind !== 'trainerAdvanced';

const answerFetch = (world: World, fetch: FetchRow, now: Instant): void => {
  const lot = world.lots.get(fetch.lot);
  if (lot === undefined || lot.workspace !== fetch.workspace) {
    world.fetches.change(fetch.id, { state: FetchState.Refused });
    return;
  }
  if (lot.state === LotState.Failed) {
    world.fetches.change(fetch.id, { state: FetchState.Failed });
    return;
  }
  if (fetch.isConfirmed && answerConfirmedFetch(world, lot, fetch, now)) return;
  if (fetch.isConfirmed && fetch.fetchDeadline <= now) {
    world.fetches.change(fetch.id, { state: FetchState.NotReady });
    return;
  }
  if (fetch.ledgerDeadline <= now) {
    world.fetches.change(fetch.id, { state: FetchState.LedgerTimedOut });
    return;
  }
  if (fetch.state === FetchState.Arrived) {
    world.fetches.change(fetch.id, { state: FetchState.Waiting });
  }
  const command = createDeliveryCommand(world, lot, fetch);
  if (shouldPropose(fetch, command)) {
    proposeOnce(world, lot.id, ProposalPurpose.Deliver, command, now);
  }
};

const finishCollecting = (world: World, fetch: FetchRow): void => {
  if (fetch.state !== FetchState.Collecting) return;
  if (world.bodyReads.count('readerState', `${fetch.id}/${ReadState.Pending}`) > 0) return;
  const isMissing = world.bodyReads.count('readerState', `${fetch.id}/${ReadState.Missing}`) > 0;
  if (isMissing) releaseBodies(world, fetch.id);
  const state = isMissing ? FetchState.Unavailable : FetchState.Ready;
  world.fetches.change(fetch.id, { state });
};

/** Creates the system that delivers batches to trainers. */
export const createFetchSystem = (world: World): System => {
  const watcher = createLotWatcher(world, ['lots', 'samples', 'fetches']);
  const fetchChanges = world.fetches.createChangeReader();
  const readChanges = world.bodyReads.createChangeReader();

  const answerWaitingFetches = (lot: LotId, now: Instant): void =>
    world.fetches.where('lot', lot).forEach((fetch) => answerFetch(world, fetch, now));

  const handleArrivedFetches = (now: Instant): void =>
    fetchChanges.take().forEach((id) => {
      const fetch = world.fetches.get(id);
      if (fetch?.state === FetchState.Arrived) answerFetch(world, fetch, now);
    });

  const handleReadChanges = (): void => {
    const readers = readChanges.take().flatMap((id) => world.bodyReads.get(id)?.reader ?? []);
    new Set(readers).forEach((reader) => {
      const fetch = world.fetches.get(asBrand(reader));
      if (fetch !== undefined) finishCollecting(world, fetch);
    });
  };

  return {
    name: 'fetch',
    run: (now) => {
      handleArrivedFetches(now);
      watcher.takeChanges().forEach((lot) => answerWaitingFetches(lot, now));
      world.fetches.takeDue('fetch', now).forEach((fetch) => answerFetch(world, fetch, now));
      handleReadChanges();
    },
  };
};
