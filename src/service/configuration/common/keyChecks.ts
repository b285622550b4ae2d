/**
 * Validates keys of callers and operators. A caller key is valid if it is known and not withdrawn,
 * and if the settings of this daemon are known to be current. Reads tables only.
 */
import type { Instant } from '../../../base/common/time.js';
import { leadershipId } from '../../consensus/common/consensusTables.js';
import { RefusalKind } from '../../traffic/common/refusal.js';
import type { KeyDigest } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { servedId } from './servedTables.js';
import { settingsOf } from './settingsTables.js';

/** Whether the replayed log has reached the revision that was served before a restart. */
const hasReachedServedRevision = (world: World): boolean =>
  settingsOf(world).revision >= world.served.get(servedId)!.revision;

/**
 * Whether the settings of this daemon are known to be current, so that it may serve keyed requests.
 */
export const hasFreshSettings = (world: World, now: Instant): boolean => {
  if (!world.hasControlDaemons) return true;
  const leadership = world.leadership.get(leadershipId);
  if (leadership === undefined || now >= leadership.freshnessDeadline) return false;
  return hasReachedServedRevision(world);
};

/** Returns why a request with this key must be refused, or undefined if the key is valid. */
export const findKeyRefusal = (
  world: World,
  digest: KeyDigest,
  now: Instant,
): RefusalKind | undefined => {
  if (!hasFreshSettings(world, now)) return RefusalKind.StaleConfiguration;
  const key = world.keys.get(digest);
  if (key === undefined) return RefusalKind.UnknownKey;
  return key.withdrawn ? RefusalKind.WithdrawnKey : undefined;
};

/** Returns why an operator's request must be refused, or undefined if the operator key is valid. */
export const findOperatorKeyRefusal = (
  world: World,
  digest: KeyDigest | null,
): RefusalKind | undefined => {
  if (digest === null) return RefusalKind.MissingKey;
  const operator = world.operators.get(digest);
  if (operator === undefined) return RefusalKind.UnknownKey;
  return operator.withdrawn ? RefusalKind.WithdrawnKey : undefined;
};
