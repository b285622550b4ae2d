/**
 * Creates the rows of a new lot. Identifiers are derived from the command, so that they are
 * identical on all control daemons.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, never, type Instant } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { BodyId, GroupId, LotId, SampleId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import type { LedgerCommand } from './ledgerCommands.js';
import { LotState, SampleState, type LotRow } from './ledgerRows.js';
import type { LotClockRow } from './runRows.js';

/** The command that opens a lot. */
export type LotOpened = Extract<LedgerCommand, { readonly kind: 'lotOpened' }>;

/** Time after its deadline for which a lot whose last batch is not acknowledged is kept. */
const deliveredRetentionMilliseconds = 600_000;

/** Time for which a failed lot is kept. */
const failedRetentionMilliseconds = 600_000;

/** Returns the identifier of the group at a position in the lot. */
export const groupIdOf = (lot: LotId, position: number): GroupId => asBrand(`${lot}/${position}`);

/** Returns the identifier of the body that holds the prompts of a lot. */
export const promptBodyIdOf = (lot: LotId, promptDigest: string): BodyId =>
  asBrand(`${lot}/prompts/${promptDigest}`);

const putGroup = (world: World, lot: LotId, position: number, size: number): void => {
  const group = groupIdOf(lot, position);
  Array.from({ length: size }, (_, member) =>
    world.samples.put({
      id: asBrand<SampleId>(`${group}/${member}`),
      lot,
      group,
      position,
      state: SampleState.Planned,
      attempt: null,
      spans: [],
      holders: [],
    }),
  );
};

const createLotRow = (command: LotOpened): LotRow => ({
  id: asBrand(command.lot),
  workspace: asBrand(command.workspace),
  service: asBrand(command.service),
  model: command.model,
  step: command.step,
  trainerVersion: command.trainerVersion,
  stalenessBound: command.stalenessBound,
  swapPolicy: command.swapPolicy,
  groupCount: command.groupCount,
  groupSize: command.groupSize,
  maximumTokens: command.maximumTokens,
  state: LotState.Open,
  failure: null,
  owner: asBrand(command.owner),
  epoch: 0,
  promptDigest: command.promptDigest,
  holders: command.holders.map((holder) => asBrand(holder)),
  nextCursor: 0,
  undelivered: command.groupCount * command.groupSize,
  remaining: command.remaining,
});

/** Sets the deadlines of an open lot. */
const startLotClock = (world: World, { id, remaining }: LotRow, now: Instant): void => {
  const lotDeadline = deadlineAfter(now, remaining);
  world.lotClocks.put({
    id,
    lotDeadline,
    retentionDeadline: deadlineAfter(lotDeadline, deliveredRetentionMilliseconds),
  });
};

/** Sets the deadlines of a lot that has failed. */
export const stopLotClock = (world: World, { id }: LotRow, now: Instant): void => {
  const retentionDeadline = deadlineAfter(now, failedRetentionMilliseconds);
  world.lotClocks.put({ id, lotDeadline: never, retentionDeadline });
};

/** Removes the deadlines of a lot that was dropped, and has its bodies deleted. */
export const removeLotClock = (world: World, id: LotId): void => {
  world.lotClocks.remove(id);
  world.bodyDeletions.append(id);
};

type ClockHandler = (
  world: World,
  lot: LotRow,
  clock: LotClockRow | undefined,
  now: Instant,
) => void;

/** A clock that does not run belongs to an earlier lot with the identifier. */
const keepRunning: ClockHandler = (world, lot, clock, now) => {
  if (clock === undefined || clock.lotDeadline === never) startLotClock(world, lot, now);
};

/** Handlers that adapt the deadlines of a restored lot, by its state. */
const clockHandlers: Readonly<Record<LotState, ClockHandler>> = {
  open: keepRunning,
  delivered: keepRunning,
  // The owner stops the clock and shortens the retention.
  acknowledged: (world, lot, clock, now) => {
    if (clock === undefined) startLotClock(world, lot, now);
  },
  failed: (world, lot, clock, now) => {
    if (clock?.lotDeadline !== never) stopLotClock(world, lot, now);
  },
};

/**
 * Adapts the deadlines of lots to lots that did not come one by one. Deadlines that exist are kept,
 * as they are the earlier ones; others start anew, as after a restart.
 */
export const restoreLotClocks = (world: World, now: Instant): void => {
  [...world.lotClocks.rows()]
    .filter(({ id }) => !world.lots.has(id))
    .forEach(({ id }) => removeLotClock(world, id));
  [...world.lots.rows()].forEach((lot) =>
    clockHandlers[lot.state](world, lot, world.lotClocks.get(lot.id), now),
  );
};

/** Inserts the rows of a lot and its samples, and sets the deadlines of the lot. */
export const putLot = (world: World, command: LotOpened, now: Instant): void => {
  const lot = world.lots.put(createLotRow(command));
  Array.from({ length: lot.groupCount }, (_, position) =>
    putGroup(world, lot.id, position, lot.groupSize),
  );
  startLotClock(world, lot, now);
  const { workspace, owner, undelivered } = lot;
  const subject = { lot: lot.id, workspace, owner, samples: undelivered };
  world.events.append({ kind: EventKind.LotOpened, subject });
};

/**
 * Whether a second command under the same lot identifier has the same specification as the open
 * lot.
 */
export const isSameSpecification = (lot: LotRow, command: LotOpened): boolean =>
  lot.workspace === command.workspace &&
  lot.service === command.service &&
  lot.model === command.model &&
  lot.step === command.step &&
  lot.promptDigest === command.promptDigest &&
  lot.groupCount === command.groupCount &&
  lot.groupSize === command.groupSize &&
  lot.stalenessBound === command.stalenessBound &&
  lot.maximumTokens === command.maximumTokens;
