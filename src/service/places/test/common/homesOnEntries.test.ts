import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import {
  testDeclarationCommand,
  testEngine,
} from '../../../../../standins/virtual/fleetFixture.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import {
  createVirtualInstallation,
  type VirtualInstallation,
} from '../../../../../standins/virtual/virtualInstallation.js';
import { Profile } from '../../../core/common/core.js';
import { CallRefusalKind } from '../../../forwarding/common/callRefusal.js';
import {
  CallState,
  type CallId,
  type CallRow,
} from '../../../forwarding/common/forwardingTables.js';
import type { World } from '../../../world/common/world.js';
import { declarationWithHomes, plainUpstream, testPlaces } from './homesFixture.js';

const controlDaemons = ['d1', 'd2', 'd3'];
const entry = 'd4';
const settleMilliseconds = 6_000;

/** Time after which the declaration of an entry without contact no longer counts for home regions. */
const homeChangeMilliseconds = 3_000;

const worldOf = (installation: VirtualInstallation): World => installation.daemon(entry).core.world;

const declareHomes = (installation: VirtualInstallation, region: string, version: number): void => {
  installation.daemon('d1').core.world.proposals.append({
    id: asBrand(`declare-${version}`),
    command: {
      ...testDeclarationCommand(version),
      declaration: declarationWithHomes(version, {
        routes: { book: [region] },
        columns: { objectiveMilliseconds: 1_000, timeoutMilliseconds: 20_000 },
      }),
    },
    proposalDeadline: installation.now() + settleMilliseconds,
  });
  installation.wake('d1');
  installation.runFor(settleMilliseconds);
};

/** Creates three control daemons and an entry that knows an upstream in each of two regions. */
const createInstallation = (): VirtualInstallation => {
  const listed = createTestDeployment(4, 3);
  const installation = createVirtualInstallation({
    deployment: {
      ...listed,
      daemons: listed.daemons.map((daemon) => ({
        ...daemon,
        roles: [daemon.name === entry ? ('entry' as const) : ('control' as const)],
      })),
      discovery: Discovery.Announced,
      timing: { ...listed.timing, heartbeatMilliseconds: 500, suspicionMilliseconds: 1_700 },
    },
    tree: createTestTree(),
    seed: 3,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: 3, places: testPlaces },
  });
  installation.runFor(settleMilliseconds);
  declareHomes(installation, 'east', 1);
  return installation;
};

const reportUpstream = (
  installation: VirtualInstallation,
  upstream: string,
  zone: string,
): void => {
  const registration = testEngine(upstream, {
    ...plainUpstream(zone, 4),
    sequence: installation.now(),
  });
  worldOf(installation).arrivedRegistrations.append({ registration, isDirect: false });
  installation.wake(entry);
};

const callOf = (installation: VirtualInstallation, id: string): CallRow =>
  worldOf(installation).calls.get(asBrand<CallId>(id))!;

const sendCall = (installation: VirtualInstallation, id: string): void => {
  worldOf(installation).arrivedCalls.append({
    id: asBrand<CallId>(id),
    requestId: id,
    host: 'yard.example',
    path: '/book/x',
    key: 'key-1',
    remaining: 15_000,
    digest: null,
    isInternal: false,
    urgency: [],
    takesUp: null,
  });
  installation.wake(entry);
  installation.runFor(10);
};

const breakSend = (installation: VirtualInstallation, id: string): void => {
  const send = worldOf(installation).sends.where('call', id).at(-1)!;
  worldOf(installation).sendFacts.append({ kind: 'broken', send: send.id, reason: 'reset' });
  installation.wake(entry);
  installation.runFor(10);
};

const countSends = (installation: VirtualInstallation, id: string): number =>
  worldOf(installation).sends.count('call', id);

test('an entry that may not know a change of home regions sends nothing', (t) => {
  const installation = createInstallation();
  reportUpstream(installation, 'e1', 'z1');
  installation.runFor(50);
  controlDaemons.forEach((name) => installation.stop(name));
  installation.runFor(homeChangeMilliseconds - 1_500);
  reportUpstream(installation, 'e1', 'z1');
  sendCall(installation, 'early');
  t.is(callOf(installation, 'early').state, CallState.Running);

  installation.runFor(1_400);
  reportUpstream(installation, 'e1', 'z1');
  breakSend(installation, 'early');
  installation.runFor(200);
  t.is(callOf(installation, 'early').state, CallState.Waiting, 'a retry waits');
  t.is(countSends(installation, 'early'), 1);

  sendCall(installation, 'late');
  installation.runFor(400);
  t.like(callOf(installation, 'late').refusal, {
    kind: CallRefusalKind.NotReady,
    isNotRun: true,
  });
});

test('an entry in contact sends by the home regions in force', (t) => {
  const installation = createInstallation();
  declareHomes(installation, 'west', 2);
  reportUpstream(installation, 'e1', 'z1');
  reportUpstream(installation, 'e2', 'z2');
  sendCall(installation, 'call');
  t.deepEqual(
    worldOf(installation)
      .sends.where('call', 'call')
      .map(({ upstream }) => String(upstream)),
    ['e2'],
  );
});
