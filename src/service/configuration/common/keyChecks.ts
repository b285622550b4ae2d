/**
 * Whether a key holds now: it is known, it is not withdrawn, and this daemon knows that its settings are
 * not out of date.
 */
import type { Instant } from '../../../base/common/time.js';
import { leadershipId } from '../../consensus/common/consensusTables.js';
import { RefusalKind } from '../../traffic/common/refusal.js';
import type { KeyDigest } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { servedId } from './servedTables.js';
import { settingsOf } from './settingsTables.js';

/** Whether the settings that were served last have been reached again after a restart. */
const hasCaughtUp = (world: World): boolean =>
  settingsOf(world).revision >= world.served.get(servedId)!.revision;

/** Whether this daemon may serve requests with keys: its settings are known to be those in force. */
export const isFresh = (world: World, now: Instant): boolean => {
  if (!world.hasControlDaemons) return true;
  const leadership = world.leadership.get(leadershipId);
  if (leadership === undefined || now >= leadership.freshnessDeadline) return false;
  return hasCaughtUp(world);
};

/** Why a request with this key is refused, or undefined where the key holds. */
export const refusalOfKey = (
  world: World,
  digest: KeyDigest,
  now: Instant,
): RefusalKind | undefined => {
  if (!isFresh(world, now)) return RefusalKind.StaleConfiguration;
  const key = world.keys.get(digest);
  if (key === undefined) return RefusalKind.UnknownKey;
  return key.withdrawn ? RefusalKind.WithdrawnKey : undefined;
};

/** Why an operator's edit is refused, or undefined where the operator's key holds. */
export const refusalOfOperatorKey = (
  world: World,
  digest: KeyDigest | null,
): RefusalKind | undefined => {
  if (digest === null) return RefusalKind.MissingKey;
  const operator = world.operators.get(digest);
  if (operator === undefined) return RefusalKind.UnknownKey;
  return operator.withdrawn ? RefusalKind.WithdrawnKey : undefined;
};
