/**
 * A fleet of one control daemon with upstreams in three regions (`z1` in east, `z2` in west, `z3` in
 * north), and declarations with home regions.
 */
import { asBrand } from '../../../../base/common/brand.js';
import { defaultPlaceSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclaration,
  testDeclarationCommand,
  testEngine,
} from '../../../../../standins/virtual/fleetFixture.js';
import type { Declaration, RouteDeclaration } from '../../../declaration/common/declaration.js';
import type { RecordedEvent } from '../../../events/common/eventKind.js';
import type {
  CallId,
  CallRow,
  SendFact,
  SendRow,
} from '../../../forwarding/common/forwardingTables.js';
import type { Registration } from '../../../registry/common/registryTables.js';

export const testPlaces = {
  ...defaultPlaceSettings,
  regionByZone: { z1: 'east', z2: 'west', z3: 'north' },
};

/** Home regions by the name of the route, and those of the workspace `yard`. */
export interface DeclaredHomes {
  readonly routes?: Readonly<Record<string, readonly string[]>>;
  readonly workspace?: readonly string[];
  /** Columns that replace those of all routes. */
  readonly columns?: Partial<RouteDeclaration>;
}

export const declarationWithHomes = (
  version: number,
  { routes = {}, workspace = [], columns = {} }: DeclaredHomes,
): Declaration => {
  const declaration = testDeclaration(version);
  return {
    ...declaration,
    routes: declaration.routes.map((route) => ({
      ...route,
      ...columns,
      homeRegions: routes[route.name] ?? [],
    })),
    workspaces: declaration.workspaces!.map((row) => ({ ...row, homeRegions: workspace })),
  };
};

export const declareHomes = (core: FleetCore, version: number, homes: DeclaredHomes): void =>
  core.propose(`declare-${version}`, {
    ...testDeclarationCommand(version),
    declaration: declarationWithHomes(version, homes),
  });

export const createHomeCore = (homes: DeclaredHomes, canOrderCapacity = false): FleetCore => {
  const core = createFleetCore({ places: testPlaces, canOrderCapacity });
  declareHomes(core, 1, homes);
  return core;
};

/** Reports upstreams by identifier, each with the columns that differ from those of `testEngine`. */
export const reportUpstreams = (
  core: FleetCore,
  upstreams: Readonly<Record<string, Partial<Registration>>>,
): void => {
  Object.entries(upstreams).forEach(([upstream, columns]) =>
    core.world.arrivedRegistrations.append({
      registration: testEngine(upstream, { sequence: core.now(), ...columns }),
      isDirect: false,
    }),
  );
  core.settle();
};

/** Columns of an upstream of the service `yard-app`. */
export const plainUpstream = (zone: string, slots = 1): Partial<Registration> => ({
  service: 'yard-app',
  models: [],
  zone,
  slots,
});

export const callOf = (core: FleetCore, id: string): CallRow =>
  core.world.calls.get(asBrand<CallId>(id))!;

/** Sends a call of the workspace `yard` on the route `book`. */
export const sendBookCall = (core: FleetCore, id: string): CallRow => {
  core.world.arrivedCalls.append({
    id: asBrand<CallId>(id),
    requestId: id,
    host: 'yard.example',
    path: '/book/x',
    key: 'key-1',
    remaining: 2_500,
    digest: null,
    isInternal: false,
    urgency: [],
    takesUp: null,
  });
  core.settle();
  return callOf(core, id);
};

export const sendsOf = (core: FleetCore, call: string): readonly SendRow[] =>
  core.world.sends.where('call', call);

/** Identifiers of the upstreams to which a call was sent, in order. */
export const upstreamsOfCall = (core: FleetCore, call: string): string[] =>
  sendsOf(core, call).map(({ upstream }) => String(upstream));

type SendFactColumns = SendFact extends infer Fact
  ? Fact extends SendFact
    ? Omit<Fact, 'send'>
    : never
  : never;

export const reportLastSend = (core: FleetCore, call: string, fact: SendFactColumns): void => {
  core.world.sendFacts.append({ ...fact, send: sendsOf(core, call).at(-1)!.id });
  core.settle();
};

export const takeEvents = (core: FleetCore): readonly RecordedEvent[] =>
  core.world.events.takeAll();
