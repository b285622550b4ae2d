/**
 * Stops requests whose key holds no longer. A withdrawn key ends what waits at once; what runs finishes
 * or is cancelled by the policy `onWithdrawal` in force now. The same goes for every request with a key
 * once this daemon no longer knows that its settings are those in force.
 */
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { leadershipId } from '../../consensus/common/consensusTables.js';
import { endRunningAttempts } from '../../dispatch/common/endAttempt.js';
import { EventKind } from '../../events/common/eventKind.js';
import { cancelRequest, refuseRequest } from '../../traffic/common/endRequest.js';
import { createRefusal, RefusalKind } from '../../traffic/common/refusal.js';
import { RequestState, type RequestRow } from '../../traffic/common/trafficTables.js';
import type { KeyDigest } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { freshnessId } from './freshnessTables.js';
import { isFresh } from './keyChecks.js';
import { effectivePolicy, WithdrawalPolicy } from './tree.js';

const policyInForce = (world: World, request: RequestRow): WithdrawalPolicy => {
  const service = request.service === null ? undefined : world.services.get(request.service);
  if (service === undefined) return request.policy!.onWithdrawal;
  const workspace =
    request.workspace === null ? undefined : world.workspaces.get(request.workspace);
  return effectivePolicy(world.tree(), service.settings, workspace?.settings).onWithdrawal;
};

const stopWaiting = (world: World, request: RequestRow, kind: RefusalKind, now: Instant): void =>
  refuseRequest(world, request, createRefusal(kind, !request.mayHaveRun), now);

const stopRunning = (world: World, request: RequestRow, kind: RefusalKind, now: Instant): void => {
  if (policyInForce(world, request) !== WithdrawalPolicy.Cancel) return;
  const hasWritten = endRunningAttempts(world, request, kind);
  const notRun = !request.mayHaveRun && !hasWritten;
  cancelRequest(world, request, createRefusal(kind, notRun), now);
};

const untouched = (): void => {};

/** What becomes of a request in each state when its key holds no longer. */
const handlers: Readonly<
  Record<RequestState, (world: World, request: RequestRow, kind: RefusalKind, now: Instant) => void>
> = {
  arrived: untouched,
  waiting: stopWaiting,
  running: stopRunning,
  answered: untouched,
  refused: untouched,
  failed: untouched,
  cancelled: untouched,
};

const stopRequests = (world: World, key: KeyDigest, kind: RefusalKind, now: Instant): void =>
  world.requests
    .where('key', key)
    .forEach((request) => handlers[request.state](world, request, kind, now));

const stopIfWithdrawn = (world: World, key: KeyDigest, now: Instant): void => {
  if (world.keys.get(key)?.withdrawn === false) return;
  world.metrics.count('keys.withdrawn');
  stopRequests(world, key, RefusalKind.WithdrawnKey, now);
};

const becomeStale = (world: World, now: Instant): void => {
  world.freshness.change(freshnessId, { isFresh: false });
  world.events.append({ kind: EventKind.SettingsStale, subject: {} });
  [...world.requests.values('key')].forEach((key) =>
    stopRequests(world, key as KeyDigest, RefusalKind.StaleConfiguration, now),
  );
};

const followLeadership = (world: World, now: Instant): void => {
  const leadership = world.leadership.get(leadershipId);
  if (leadership === undefined) return;
  const { freshnessDeadline } = leadership;
  const wasFresh = world.freshness.get(freshnessId)?.isFresh;
  const fresh = isFresh(world, now);
  world.freshness.put({ id: freshnessId, isFresh: fresh, freshnessDeadline });
  if (fresh && wasFresh !== true) {
    world.events.append({ kind: EventKind.SettingsFresh, subject: {} });
  }
  if (!fresh && wasFresh === true) becomeStale(world, now);
};

/** Creates the system of revocation. */
export const createRevocationSystem = (world: World): System => {
  const keys = world.keys.createChangeReader();
  const leadership = world.leadership.createChangeReader();
  const served = world.settings.createChangeReader();
  return {
    name: 'revocation',
    run: (now) => {
      const changes = leadership.take().length + served.take().length;
      if (changes > 0) followLeadership(world, now);
      if (world.freshness.takeDue('freshness', now).length > 0) becomeStale(world, now);
      keys.take().forEach((key) => stopIfWithdrawn(world, key, now));
    },
  };
};
