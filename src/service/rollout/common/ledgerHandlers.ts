/**
 * Applies committed ledger commands to the replicated rows. Handlers may read only replicated rows
 * and the command, so that every control daemon derives identical rows; daemons without the role
 * `control` hold no ledger rows. Only the clocks of lots, which are not replicated, use the local
 * time.
 */
import { err, ok, type Result } from 'neverthrow';
import { asBrand } from '../../../base/common/brand.js';
import { Role } from '../../../infrastructure/settings/common/deployment.js';
import type { ApplyHandlers } from '../../consensus/common/applyHandlers.js';
import type { Rejection } from '../../consensus/common/consensusTables.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { LotId, SampleId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { advanceTrainer, assignSamples, completeSample, withdrawBatch } from './ledgerChanges.js';
import type { LedgerCommand } from './ledgerCommands.js';
import { LotState, SampleState, type LotRow } from './ledgerRows.js';
import { isSameSpecification, putLot, removeLotClock, stopLotClock } from './putLot.js';

/** Reasons for which the ledger rejects a command. */
export const LedgerRejection = {
  UnknownLot: 'unknownLot',
  LotClosed: 'lotClosed',
  LotConflict: 'lotConflict',
  EpochStale: 'epochStale',
  CursorTaken: 'cursorTaken',
  SamplesNotReady: 'samplesNotReady',
} as const;

const rejectionMessages: Readonly<Record<string, string>> = {
  unknownLot: 'The lot is not in the ledger; submit it again.',
  lotClosed: 'The lot is already delivered or has failed; stop its sample runs.',
  lotConflict:
    'The identifier belongs to a lot with a different specification; use a new identifier.',
  epochStale: 'Another daemon now owns the lot; stop its sample runs on this daemon.',
  cursorTaken:
    'The cursor is not the next cursor of the lot; read the batch that is assigned to it.',
  samplesNotReady: 'Some samples are no longer complete; propose the batch with other samples.',
};

const reject = (kind: string): Result<void, Rejection> =>
  err({ kind, message: rejectionMessages[kind]! });

const withExistingLot = (
  world: World,
  id: string,
  applyChange: (lot: LotRow) => Result<void, Rejection>,
): Result<void, Rejection> => {
  if (!world.self.roles.includes(Role.Control)) return ok(undefined);
  const lot = world.lots.get(asBrand<LotId>(id));
  return lot === undefined ? reject(LedgerRejection.UnknownLot) : applyChange(lot);
};

/** Handlers of the ledger commands, by `kind`. */
export const ledgerApplyHandlers: ApplyHandlers<LedgerCommand> = {
  lotOpened: (command, world, _, now) => {
    if (!world.self.roles.includes(Role.Control)) return ok(undefined);
    const existing = world.lots.get(asBrand<LotId>(command.lot));
    if (existing === undefined) {
      putLot(world, command, now);
      return ok(undefined);
    }
    return isSameSpecification(existing, command)
      ? ok(undefined)
      : reject(LedgerRejection.LotConflict);
  },

  samplesCompleted: (command, world) =>
    withExistingLot(world, command.lot, (lot) => {
      if (lot.state !== LotState.Open) return reject(LedgerRejection.LotClosed);
      if (lot.epoch !== command.epoch) return reject(LedgerRejection.EpochStale);
      command.samples.forEach((completion) => completeSample(world, lot, completion));
      return ok(undefined);
    }),

  trainerAdvanced: (command, world) =>
    withExistingLot(world, command.lot, (lot) => {
      advanceTrainer(world, lot, command.cursor, command.trainerVersion);
      return ok(undefined);
    }),

  batchAssigned: (command, world) =>
    withExistingLot(world, command.lot, (lot) => {
      if (lot.state !== LotState.Open) return reject(LedgerRejection.LotClosed);
      if (command.cursor !== lot.nextCursor) return reject(LedgerRejection.CursorTaken);
      advanceTrainer(world, lot, command.cursor, command.trainerVersion);
      const samples = command.samples.map((id) => world.samples.get(asBrand<SampleId>(id)));
      const ready = samples.filter(
        (sample) => sample?.lot === lot.id && sample.state === SampleState.Complete,
      );
      if (ready.length < samples.length) return reject(LedgerRejection.SamplesNotReady);
      assignSamples(world, lot.id, ready as NonNullable<(typeof ready)[number]>[]);
      return ok(undefined);
    }),

  batchWithdrawn: (command, world) =>
    withExistingLot(world, command.lot, (lot) => {
      withdrawBatch(world, lot, command.cursor, command.trainerVersion);
      return ok(undefined);
    }),

  lotFailed: (command, world, _, now) =>
    withExistingLot(world, command.lot, (lot) => {
      if (lot.state !== LotState.Open) return reject(LedgerRejection.LotClosed);
      world.lots.change(lot.id, { state: LotState.Failed, failure: command.failure });
      stopLotClock(world, lot, now);
      world.events.append({
        kind: EventKind.LotFailed,
        subject: { lot: lot.id, failure: command.failure },
      });
      return ok(undefined);
    }),

  lotTakenOver: (command, world) =>
    withExistingLot(world, command.lot, (lot) => {
      if (command.epoch !== lot.epoch + 1) return reject(LedgerRejection.EpochStale);
      world.lots.change(lot.id, { owner: asBrand(command.owner), epoch: command.epoch });
      world.events.append({
        kind: EventKind.LotTakenOver,
        subject: { lot: lot.id, owner: command.owner, epoch: command.epoch },
      });
      return ok(undefined);
    }),

  lotDropped: (command, world) =>
    withExistingLot(world, command.lot, (lot) => {
      world.samples.where('lot', lot.id).forEach((sample) => world.samples.remove(sample.id));
      world.batches.where('lot', lot.id).forEach((batch) => world.batches.remove(batch.id));
      world.lots.remove(lot.id);
      removeLotClock(world, lot.id);
      world.events.append({ kind: EventKind.LotDropped, subject: { lot: lot.id } });
      return ok(undefined);
    }),
};
