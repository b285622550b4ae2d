/**
 * A fleet of control daemons and entries on virtual time, with a route `/talk/` whose streams can be
 * resumed and a route `/tell/` whose streams cannot, for tests of where streams go on.
 */
import { asBrand } from '../../../../base/common/brand.js';
import type { Milliseconds } from '../../../../base/common/time.js';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import {
  testDeclaration,
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
import { RouteKind, type Declaration } from '../../../declaration/common/declaration.js';
import type { Registration } from '../../../registry/common/registryTables.js';
import type { World } from '../../../world/common/world.js';
import type { CallId, CallRow, SendRow } from '../../common/forwardingTables.js';

const controlDaemons = 6;
const entries = 6;
const warmUpMilliseconds = 6_000;
const reportIntervalMilliseconds = 1_000;
const regionLatencyMilliseconds: Milliseconds = 20;

const streamDeclaration = (): Declaration => {
  const declaration = testDeclaration();
  const [book] = declaration.routes;
  const streamRoute = {
    ...book!,
    kind: RouteKind.Stream,
    targets: [{ service: 'planner', weight: 1 }],
    objectiveMilliseconds: 2_000,
    isOpen: true,
  };
  return {
    ...declaration,
    routes: [
      ...declaration.routes,
      { ...streamRoute, name: 'talk', prefix: '/talk/', isResumable: true },
      { ...streamRoute, name: 'tell', prefix: '/tell/' },
    ],
  };
};

/** A fleet and the calls of its callers. */
export interface StreamFleet {
  readonly installation: VirtualInstallation;
  readonly worldOf: (daemon: string) => World;
  /** Lets an engine report every second to a control daemon; `columns` can change between reports. */
  readonly addEngine: (engine: string, columns: Partial<Registration>) => void;
  readonly removeEngine: (engine: string) => void;
  /** Sends a call and runs until it has been sent on or refused; returns its row. */
  readonly sendCall: (daemon: string, request: string, columns?: CallColumns) => CallRow;
  readonly callOf: (daemon: string, request: string) => CallRow;
  /** The latest send of a call. */
  readonly sendOf: (daemon: string, request: string) => SendRow | undefined;
}

/** What a call names besides its request. */
export interface CallColumns {
  readonly path?: string;
  /** The attempt that brought the first event, or null if the call names none. */
  readonly takesUp?: string | null;
}

/** Creates the fleet; its entries are `d7` to `d12`. */
export const createStreamFleet = (): StreamFleet => {
  const listed = createTestDeployment(controlDaemons + entries, controlDaemons);
  const daemons = listed.daemons.map((daemon, index) => ({
    ...daemon,
    roles: [index < controlDaemons ? ('control' as const) : ('entry' as const)],
  }));
  const regionOf = new Map<string, string>(daemons.map(({ name, region }) => [name, region]));
  const installation = createVirtualInstallation({
    deployment: {
      ...listed,
      daemons,
      discovery: Discovery.Announced,
      timing: { ...listed.timing, heartbeatMilliseconds: 500, suspicionMilliseconds: 1_700 },
    },
    tree: createTestTree(),
    seed: 7,
    latency: (from, to) =>
      regionOf.get(from) === regionOf.get(to) ? 1 : regionLatencyMilliseconds,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: 5 },
  });
  const engines = new Map<string, Partial<Registration>>();
  const worldOf = (daemon: string): World => installation.daemon(daemon).core.world;

  const report = (engine: string, sequence: number): void => {
    const columns = engines.get(engine);
    if (columns === undefined) return;
    const registration = testEngine(engine, { startedAt: -2, sequence, ...columns });
    worldOf('d1').arrivedRegistrations.append({ registration, isDirect: true });
    installation.wake('d1');
    installation.schedule(reportIntervalMilliseconds, () => report(engine, sequence + 1));
  };

  const callOf = (daemon: string, request: string): CallRow =>
    worldOf(daemon).calls.get(asBrand<CallId>(request))!;

  installation.runFor(warmUpMilliseconds);
  worldOf('d1').proposals.append({
    id: asBrand('declare'),
    command: { ...testDeclarationCommand(), declaration: streamDeclaration() },
    proposalDeadline: installation.now() + warmUpMilliseconds,
  });
  installation.wake('d1');
  installation.runFor(warmUpMilliseconds);

  return {
    installation,
    worldOf,
    addEngine: (engine, columns) => {
      const isKnown = engines.has(engine);
      engines.set(engine, columns);
      if (!isKnown) report(engine, 1);
      installation.runFor(2 * reportIntervalMilliseconds);
    },
    removeEngine: (engine) => {
      engines.delete(engine);
      worldOf('d1').arrivedDepartures.append({ upstream: engine, startedAt: null });
      installation.wake('d1');
      installation.runFor(reportIntervalMilliseconds);
    },
    sendCall: (daemon, request, { path = '/talk/x', takesUp } = {}) => {
      worldOf(daemon).arrivedCalls.append({
        id: asBrand<CallId>(request),
        requestId: request,
        host: 'yard.example',
        path,
        key: null,
        digest: null,
        remaining: 2_500,
        isInternal: false,
        urgency: [],
        takesUp: takesUp === undefined ? null : { request: takesUp },
      });
      installation.wake(daemon);
      installation.runFor(250);
      return callOf(daemon, request);
    },
    callOf,
    sendOf: (daemon, request) => worldOf(daemon).sends.where('call', request).at(-1),
  };
};
