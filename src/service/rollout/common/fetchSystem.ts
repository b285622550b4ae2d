/**
 * Gives batches to trainers. A batch is made of whole groups and is in the ledger before it is answered;
 * asking for a later cursor acknowledges the batches before it. A question is answered only after a
 * command that was proposed after it has been applied here, so that no daemon answers from old rows.
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
import { textBodyOf } from './runs.js';
import { FetchState, ProposalPurpose, type FetchRow } from './runRows.js';
import { isStale } from './staleness.js';

const versionOf = (lot: LotRow, fetch: FetchRow): number =>
  Math.max(lot.trainerVersion, fetch.trainerVersion ?? 0);

const deliverableSamples = (world: World, lot: LotRow, trainerVersion: number): SampleRow[] => {
  const complete = world.samples
    .where('lotState', `${lot.id}/${SampleState.Complete}`)
    .filter((sample) => !isStale(sample.spans, { ...lot, trainerVersion }));
  const groups = new Map<GroupId, SampleRow[]>();
  complete.forEach((sample) => {
    const group = groups.get(sample.group) ?? [];
    group.push(sample);
    groups.set(sample.group, group);
  });
  return [...groups.values()].filter((group) => group.length === lot.groupSize).flat();
};

const commandFor = (world: World, lot: LotRow, fetch: FetchRow): LedgerCommand => {
  const { cursor } = fetch;
  const trainerVersion = versionOf(lot, fetch);
  const common = { lot: lot.id, cursor, trainerVersion };
  const existing = world.batches.get(batchIdOf(lot.id, cursor));
  if (existing !== undefined && isBatchStale(world, lot, existing, trainerVersion)) {
    return { kind: 'batchWithdrawn', ...common };
  }
  const mayAssign = cursor === lot.nextCursor && lot.state === LotState.Open;
  const samples = mayAssign ? deliverableSamples(world, lot, trainerVersion) : [];
  return samples.length === 0
    ? { kind: 'trainerAdvanced', ...common }
    : { kind: 'batchAssigned', ...common, samples: samples.map((sample) => sample.id) };
};

const collect = (world: World, fetch: FetchRow, batch: BatchRow, now: Instant): void => {
  world.fetches.change(fetch.id, { state: FetchState.Collecting, batch: batch.id });
  batch.samples.forEach((id) => {
    const { attempt, holders } = world.samples.get(id)!;
    readBody(world, fetch.id, { body: textBodyOf(id, attempt!), lot: batch.lot, holders }, now);
  });
};

/** Batches that may be given again: any that the trainer has not outgrown since it was assigned. */
const givableBatch = (world: World, lot: LotRow, fetch: FetchRow): BatchRow | undefined => {
  const batch = world.batches.get(batchIdOf(lot.id, fetch.cursor));
  if (batch === undefined || batch.acknowledged) return batch;
  return isBatchStale(world, lot, batch, versionOf(lot, fetch)) ? undefined : batch;
};

const answerConfirmed = (world: World, lot: LotRow, fetch: FetchRow, now: Instant): boolean => {
  const batch = givableBatch(world, lot, fetch);
  if (batch !== undefined) {
    collect(world, fetch, batch, now);
    return true;
  }
  const isEnded = lot.state === LotState.Acknowledged && fetch.cursor === lot.nextCursor;
  if (isEnded) world.fetches.change(fetch.id, { state: FetchState.Ended });
  return isEnded;
};

const mustPropose = (fetch: FetchRow, command: LedgerCommand): boolean =>
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
  if (fetch.isConfirmed && answerConfirmed(world, lot, fetch, now)) return;
  if (fetch.isConfirmed && fetch.fetchDeadline <= now) {
    world.fetches.change(fetch.id, { state: FetchState.NotReady });
    return;
  }
  if (fetch.ledgerDeadline <= now) {
    world.fetches.change(fetch.id, { state: FetchState.LedgerSilent });
    return;
  }
  if (fetch.state === FetchState.Arrived) {
    world.fetches.change(fetch.id, { state: FetchState.Waiting });
  }
  const command = commandFor(world, lot, fetch);
  if (mustPropose(fetch, command)) {
    proposeOnce(world, lot.id, ProposalPurpose.Deliver, command, now);
  }
};

const finishCollecting = (world: World, fetch: FetchRow): void => {
  if (fetch.state !== FetchState.Collecting) return;
  if (world.bodyReads.count('readerState', `${fetch.id}/${ReadState.Wanted}`) > 0) return;
  const isMissing = world.bodyReads.count('readerState', `${fetch.id}/${ReadState.Missing}`) > 0;
  if (isMissing) releaseBodies(world, fetch.id);
  const state = isMissing ? FetchState.Unavailable : FetchState.Ready;
  world.fetches.change(fetch.id, { state });
};

/** Creates the system of deliveries. */
export const createFetchSystem = (world: World): System => {
  const watcher = createLotWatcher(world, ['lots', 'samples', 'fetches']);
  const fetchChanges = world.fetches.createChangeReader();
  const readChanges = world.bodyReads.createChangeReader();

  const answerWaiting = (lot: LotId, now: Instant): void =>
    world.fetches.where('lot', lot).forEach((fetch) => answerFetch(world, fetch, now));

  const takeArrived = (now: Instant): void =>
    fetchChanges.take().forEach((id) => {
      const fetch = world.fetches.get(id);
      if (fetch?.state === FetchState.Arrived) answerFetch(world, fetch, now);
    });

  const takeReads = (): void => {
    const readers = readChanges.take().flatMap((id) => world.bodyReads.get(id)?.reader ?? []);
    new Set(readers).forEach((reader) => {
      const fetch = world.fetches.get(asBrand(reader));
      if (fetch !== undefined) finishCollecting(world, fetch);
    });
  };

  return {
    name: 'fetch',
    run: (now) => {
      takeArrived(now);
      watcher.take().forEach((lot) => answerWaiting(lot, now));
      world.fetches.takeDue('fetch', now).forEach((fetch) => answerFetch(world, fetch, now));
      takeReads();
    },
  };
};
