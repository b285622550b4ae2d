/**
 * Cold upstreams in complete daemons: three control daemons and two entries, with real elections,
 * heartbeats and lists. Guards against an upstream that stays idle although work waits, requests
 * without a leader, and requests of a daemon that is cut off and takes the upstream for warm.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { encodeFrame } from '../../../../infrastructure/wire/node/frames.js';
import { testEngine, testItem, testJob } from '../../../../../standins/virtual/fleetFixture.js';
import { selectSendable } from '../../common/coldSelection.js';
import { markZoneCold } from '../../common/coldState.js';

import {
  coldMilliseconds,
  countMostInSecond,
  createInstallation,
  daemons,
  offerCalls,
  requestLimit,
  requestsPerSecond,
} from './coldInstallation.js';

test('an upstream that returned gets the rate that it tolerates, and no more', (t) => {
  const fleet = createInstallation();
  const start = fleet.installation.now();
  fleet.startUpstream('e1', 5_000);
  offerCalls(fleet, 5_000);
  fleet.installation.runFor(5_000);
  const instants = fleet.sends.map(({ at }) => at).filter((at) => at < start + 5_000);
  const share = instants.length / (5 * requestsPerSecond);
  t.log(`${instants.length} requests in 5 s, ${share.toFixed(2)} of the declared rate`);
  t.log(`at most ${countMostInSecond(instants)} in a second, of ${requestLimit}`);
  t.true(share > 0.9);
  t.true(countMostInSecond(instants) <= requestLimit);
});

test('permits are requested for the calls that wait, and not in each tick', (t) => {
  const fleet = createInstallation();
  fleet.startUpstream('e1', coldMilliseconds);
  fleet.installation.runFor(100);
  fleet.callEvery('d4', 1, fleet.installation.now() + 3);
  fleet.installation.runFor(100);
  const requests = fleet.messages.filter(({ message }) => message.kind === 'coldPermitsRequested');
  t.is(fleet.sends.length, 3);
  const requested = requests.map(({ message }) => (message as { count: number }).count);
  t.is(
    requested.reduce((sum, count) => sum + count, 0),
    3,
  );
  const frames = fleet.messages.map(({ message }) => encodeFrame(message)._unsafeUnwrap().length);
  t.log(`frames of ${[...new Set(frames)].sort().join(', ')} bytes`);
});

test('nothing is sent to a cold upstream without a leader, and a warm one serves on', (t) => {
  const fleet = createInstallation();
  fleet.startUpstream('e1', 0);
  fleet.installation.runFor(2_000);
  const leader = fleet.leader();
  ['d1', 'd2', 'd3']
    .filter((name) => name !== leader)
    .forEach((name) => fleet.installation.freeze(name));
  fleet.installation.runFor(2_500);
  t.is(fleet.leader(), '', 'no leader');
  fleet.startUpstream('e2', coldMilliseconds);
  fleet.installation.runFor(300);
  const start = fleet.installation.now();
  offerCalls(fleet, 1_000);
  fleet.installation.runFor(1_000);
  const sent = fleet.sends.filter(({ at }) => at >= start);
  t.is(sent.filter(({ upstream }) => upstream === 'e2').length, 0);
  t.log(`${sent.length} requests to the warm upstream`);
});

test('a daemon that is cut off and takes the upstream for warm sends nothing when it is overdue', (t) => {
  const fleet = createInstallation();
  fleet.startUpstream('e1', 0);
  fleet.installation.runFor(2_000);
  daemons.filter((name) => name !== 'd4').forEach((name) => fleet.installation.cut('d4', name));
  const cutAt = fleet.installation.now();
  fleet.callEvery('d4', 20, cutAt + 4_000);
  const isSendable = (): boolean => {
    const world = fleet.worldOf('d4');
    return (
      selectSendable(world, [[...world.registrations.rows()]], fleet.installation.now()).length > 0
    );
  };
  fleet.installation.runFor(1_000);
  t.true(isSendable(), 'it takes the upstream for warm at first');
  fleet.installation.runFor(1_300);
  t.is(fleet.worldOf('d4').registrations.size(), 1, 'it still knows the upstream');
  t.false(isSendable(), 'the report is overdue, and no leader grants a permit');
  fleet.installation.runFor(2_000);
  const ownSends = fleet.sends.filter(({ daemon, at }) => daemon === 'd4' && at >= cutAt);
  const last = Math.max(...ownSends.map(({ at }) => at)) - cutAt;
  t.log(`last request ${Math.round(last)} ms after the cut`);
  t.true(last > 0 && last <= 2_200);
});

test('upstreams of a marked zone are cold for the declared time, whatever they report', (t) => {
  const fleet = createInstallation();
  fleet.startUpstream('e1', 0);
  fleet.installation.runFor(2_000);
  daemons.forEach((name) => markZoneCold(fleet.worldOf(name), 'z1', fleet.installation.now()));
  const start = fleet.installation.now();
  offerCalls(fleet, 4_500);
  fleet.installation.runFor(4_500);
  const cold = fleet.sends.map(({ at }) => at).filter((at) => at < start + coldMilliseconds);
  t.true(cold.length > 0);
  t.true(countMostInSecond(cold) <= requestLimit);
  t.true(fleet.sends.length - cold.length > requestLimit, 'it is warm afterwards');
});

test('items that the leader runs use permits without messages', (t) => {
  const fleet = createInstallation();
  const leader = fleet.leader();
  const items = Array.from({ length: 60 }, (_, index) => testItem(`i${index}`, `g${index}`));
  fleet.worldOf(leader).proposals.append({
    id: asBrand('job'),
    command: testJob('job-1', items, { submittedAt: fleet.installation.now() }),
    proposalDeadline: fleet.installation.now() + 2_000,
  });
  fleet.installation.wake(leader);
  fleet.installation.runFor(500);
  const start = fleet.installation.now();
  fleet.worldOf('d1').arrivedRegistrations.append({
    registration: testEngine('e1', { slots: 100, startedAt: start, coldMilliseconds: 2_900 }),
    isDirect: true,
  });
  fleet.installation.wake('d1');
  fleet.installation.runFor(2_000);
  const instants = fleet.sends.map(({ at }) => at);
  t.is(fleet.messages.length, 0);
  t.true(instants.length > requestLimit, `${instants.length} items`);
  t.true(countMostInSecond(instants) <= requestLimit);
});

test('without a limit in the settings nothing is limited and no message is sent', (t) => {
  const fleet = createInstallation(false);
  const start = fleet.installation.now();
  fleet.startUpstream('e1', coldMilliseconds);
  offerCalls(fleet, 2_000);
  fleet.installation.runFor(2_000);
  t.true(fleet.sends.length > 100, `${fleet.sends.length} requests`);
  t.is(fleet.messages.length, 0);
  const kinds = fleet.installation.events().filter(({ at }) => at >= start);
  t.false(kinds.some(({ kind }) => kind.startsWith('upstreamCold')));
  daemons.forEach((name) => t.is(fleet.worldOf(name).coldStates.size(), 0));
});

test('each daemon logs one line when an upstream is cold and one when it is warm again', (t) => {
  const fleet = createInstallation();
  fleet.startUpstream('e1', coldMilliseconds);
  offerCalls(fleet, 2_500, 20);
  fleet.installation.runFor(6_000);
  const countOf = (kind: string): number =>
    fleet.installation.events().filter((event) => event.kind === kind).length;
  t.is(countOf('upstreamCold'), daemons.length);
  t.is(countOf('upstreamWarm'), daemons.length);
  t.is(countOf('coldPermitsRefused'), 1);
});
