import test from 'ava';
import { checkDeclaration } from '../../common/checkDeclaration.js';
import { RouteKind, type Declaration, type RouteDeclaration } from '../../common/declaration.js';

const createRoute = (overrides: Partial<RouteDeclaration> = {}): RouteDeclaration => ({
  name: 'bookings',
  host: 'yard.example',
  prefix: '/book/',
  kind: RouteKind.Idempotent,
  timeoutMilliseconds: 1_000,
  objectiveMilliseconds: 200,
  targets: [{ service: 'yard-app', weight: 1 }],
  maximumAttempts: 2,
  isOpen: false,
  isResumable: false,
  isSingleVersion: false,
  priority: 2,
  dueMilliseconds: null,
  itemLifetimeMilliseconds: null,
  ...overrides,
});

const createDeclaration = (overrides: Partial<Declaration> = {}): Declaration => ({
  version: 1,
  routes: [createRoute()],
  services: [
    { name: 'yard-app', maximumConnections: 100, engineSlots: null, models: [], scaling: null },
  ],
  workspaces: [{ name: 'yard', keys: ['key-1'], priority: null }],
  limits: {
    maximumHeaderBytes: 16_384,
    maximumBodyBytes: 1_048_576,
    headerMilliseconds: 3_000,
    idleMilliseconds: 15_000,
  },
  ...overrides,
});

const rejectionKindOf = (overrides: Partial<Declaration>): string =>
  checkDeclaration(createDeclaration(overrides)).match(
    () => 'none',
    ({ kind }) => kind,
  );

test('a valid declaration is accepted', (t) => {
  t.is(rejectionKindOf({}), 'none');
});

test('a route to an undeclared service is rejected', (t) => {
  t.is(
    rejectionKindOf({ routes: [createRoute({ targets: [{ service: 'x', weight: 1 }] })] }),
    'unknownService',
  );
});

test('two routes with the same host and prefix are rejected', (t) => {
  t.is(
    rejectionKindOf({ routes: [createRoute(), createRoute({ name: 'other' })] }),
    'routeRepeated',
  );
});

test('a route whose weights add up to 0 and a route without services are rejected', (t) => {
  t.is(
    rejectionKindOf({ routes: [createRoute({ targets: [{ service: 'yard-app', weight: 0 }] })] }),
    'weightsInvalid',
  );
  t.is(rejectionKindOf({ routes: [createRoute({ targets: [] })] }), 'weightsInvalid');
});

test('a timeout of 0 is rejected', (t) => {
  t.is(rejectionKindOf({ routes: [createRoute({ timeoutMilliseconds: 0 })] }), 'timeoutInvalid');
});

test('a key shared by two workspaces is rejected', (t) => {
  const workspaces = [
    { name: 'first', keys: ['key-1'], priority: null },
    { name: 'second', keys: ['key-1'], priority: null },
  ];
  t.is(rejectionKindOf({ workspaces }), 'keyShared');
});
