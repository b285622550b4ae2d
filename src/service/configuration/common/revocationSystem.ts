/**
 * Stops requests whose key is no longer valid. When a key is withdrawn, its waiting requests are
 * refused at once, and its running requests finish or are cancelled according to the current
 * `onWithdrawal` policy. All requests with a key are treated the same way when the settings of this
 * daemon become stale.
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
import { hasFreshSettings } from './keyChecks.js';
import { effectivePolicy, WithdrawalPolicy } from './tree.js';

const computeWithdrawalPolicy = (world: World, request: RequestRow): WithdrawalPolicy => {
  const service = request.service === null ? undefined : world.services.get(request.service);
  if (service === undefined) return request.policy!.onWithdrawal;
  const workspace =
    request.workspace === null ? undefined : world.workspaces.get(request.workspace);
  return effectivePolicy(world.tree(), service.settings, workspace?.settings).onWithdrawal;
};

const refuseWaitingRequest = (
  world: World,
  request: RequestRow,
  kind: RefusalKind,
  now: Instant,
): void => refuseRequest(world, request, createRefusal(kind, !request.mayHaveRun), now);

const cancelIfRequired = (
  world: World,
  request: RequestRow,
  kind: RefusalKind,
  now: Instant,
): void => {
  if (computeWithdrawalPolicy(world, request) !== WithdrawalPolicy.Cancel) return;
  const hasWritten = endRunningAttempts(world, request, kind);
  const notRun = !request.mayHaveRun && !hasWritten;
  cancelRequest(world, request, createRefusal(kind, notRun), now);
};

const ignoreRequest = (): void => {};

/** Handles a request whose key is no longer valid, by the state of the request. */
const handlersByState: Readonly<
  Record<RequestState, (world: World, request: RequestRow, kind: RefusalKind, now: Instant) => void>
> = {
  arrived: ignoreRequest,
  waiting: refuseWaitingRequest,
  running: cancelIfRequired,
  answered: ignoreRequest,
  refused: ignoreRequest,
  failed: ignoreRequest,
  cancelled: ignoreRequest,
};

const revokeRequests = (world: World, key: KeyDigest, kind: RefusalKind, now: Instant): void =>
  world.requests
    .where('key', key)
    .forEach((request) => handlersByState[request.state](world, request, kind, now));

const revokeIfWithdrawn = (world: World, key: KeyDigest, now: Instant): void => {
  if (world.keys.get(key)?.withdrawn === false) return;
  world.metrics.count('keys.withdrawn');
  revokeRequests(world, key, RefusalKind.WithdrawnKey, now);
};

const markSettingsStale = (world: World, now: Instant): void => {
  world.freshness.change(freshnessId, { isFresh: false });
  world.events.append({ kind: EventKind.SettingsStale, subject: {} });
  [...world.requests.values('key')].forEach((key) =>
    revokeRequests(world, key as KeyDigest, RefusalKind.StaleConfiguration, now),
  );
};

const updateFreshness = (world: World, now: Instant): void => {
  const leadership = world.leadership.get(leadershipId);
  if (leadership === undefined) return;
  const { freshnessDeadline } = leadership;
  const wasFresh = world.freshness.get(freshnessId)?.isFresh;
  const isNowFresh = hasFreshSettings(world, now);
  world.freshness.put({ id: freshnessId, isFresh: isNowFresh, freshnessDeadline });
  if (isNowFresh && wasFresh !== true) {
    world.events.append({ kind: EventKind.SettingsFresh, subject: {} });
  }
  if (!isNowFresh && wasFresh === true) markSettingsStale(world, now);
};

/** Creates the system that stops requests with withdrawn keys and tracks settings freshness. */
export const createRevocationSystem = (world: World): System => {
  const keyChanges = world.keys.createChangeReader();
  const leadershipChanges = world.leadership.createChangeReader();
  const settingsChanges = world.settings.createChangeReader();
  return {
    name: 'revocation',
    run: (now) => {
      const changes = leadershipChanges.take().length + settingsChanges.take().length;
      if (changes > 0) updateFreshness(world, now);
      if (world.freshness.takeDue('freshness', now).length > 0) markSettingsStale(world, now);
      keyChanges.take().forEach((key) => revokeIfWithdrawn(world, key, now));
    },
  };
};
