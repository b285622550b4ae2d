/**
 * Applies committed evacuations and their withdrawals. A command that changes nothing is accepted,
 * as operators resend requests. A command is rejected if the zone changed after the request arrived.
 */
import { err, ok, type Result } from 'neverthrow';
import { asBrand } from '../../../base/common/brand.js';
import type { ApplyHandlers } from '../../consensus/common/applyHandlers.js';
import type { CommittedEntry, Rejection } from '../../consensus/common/consensusTables.js';
import type { World } from '../../world/common/world.js';
import type { EvacuationCommand } from './evacuationCommands.js';
import type { EvacuationRow, ZoneId } from './evacuationTables.js';

/** Kind of the rejection of a command whose zone changed after the request arrived. */
export const zoneChangedKind = 'zoneChanged';

const zoneChangedRejection: Rejection = {
  kind: zoneChangedKind,
  message: 'The zone was changed by another request in the meantime; send the request again.',
};

const setEvacuation = (
  world: World,
  { zone, seenIndex }: EvacuationCommand,
  { index }: CommittedEntry,
  columns: Pick<EvacuationRow, 'isInForce' | 'at'>,
): Result<void, Rejection> => {
  const id = asBrand<ZoneId>(zone);
  const current = world.evacuations.get(id);
  const isChange = (current?.isInForce ?? false) !== columns.isInForce;
  if (isChange && current !== undefined && current.index > seenIndex)
    return err(zoneChangedRejection);
  // The index of a command without change counts too: it was acknowledged, so an older command that
  // is committed later must not revert it.
  const at = isChange || current === undefined ? columns.at : current.at;
  world.evacuations.put({ id, index, isInForce: columns.isInForce, at });
  return ok(undefined);
};

/** Handlers of committed evacuation commands, by `kind`. */
export const evacuationApplyHandlers: ApplyHandlers<EvacuationCommand> = {
  zoneEvacuated: (command, world, entry) =>
    setEvacuation(world, command, entry, { isInForce: true, at: command.at }),
  zoneRestored: (command, world, entry) => {
    const at = world.evacuations.get(asBrand<ZoneId>(command.zone))?.at ?? 0;
    return setEvacuation(world, command, entry, { isInForce: false, at });
  },
};
