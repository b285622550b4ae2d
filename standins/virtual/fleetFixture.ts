/**
 * Declarations, jobs and registrations for tests of the declaration profile.
 */
import type { Declaration } from '../../src/service/declaration/common/declaration.js';
import { RouteKind } from '../../src/service/declaration/common/declaration.js';
import type { DeclarationSet } from '../../src/service/declaration/common/declarationCommands.js';
import type { JobItem, JobSubmitted } from '../../src/service/jobs/common/jobCommands.js';
import type { Registration } from '../../src/service/registry/common/registryTables.js';
import { RegistrationState } from '../../src/service/registry/common/registryTables.js';

const routeDefaults = {
  timeoutMilliseconds: 3_000,
  objectiveMilliseconds: 200,
  isOpen: false,
  isResumable: false,
  isSingleVersion: false,
  priority: 2,
  dueMilliseconds: null,
  itemLifetimeMilliseconds: null,
} as const;

/** A plain route `/book/`, a job route `/plan/` and a scoring route `/score/` on one host. */
export const testDeclaration = (version = 1): Declaration => ({
  version,
  routes: [
    {
      ...routeDefaults,
      name: 'book',
      host: 'yard.example',
      prefix: '/book/',
      kind: RouteKind.Idempotent,
      targets: [{ service: 'yard-app', weight: 1 }],
      maximumAttempts: 2,
    },
    {
      ...routeDefaults,
      name: 'plan',
      host: 'yard.example',
      prefix: '/plan/',
      kind: RouteKind.Job,
      targets: [{ service: 'planner', weight: 1 }],
      maximumAttempts: 3,
      dueMilliseconds: 7_500,
      itemLifetimeMilliseconds: 12_000,
    },
    {
      ...routeDefaults,
      name: 'score',
      host: 'yard.example',
      prefix: '/score/',
      kind: RouteKind.Idempotent,
      targets: [{ service: 'yard-app', weight: 1 }],
      maximumAttempts: 4,
      isOpen: true,
    },
  ],
  services: [
    { name: 'yard-app', maximumConnections: 100, engineSlots: null, models: [], scaling: null },
    {
      name: 'planner',
      maximumConnections: 100,
      engineSlots: 2,
      models: ['m0', 'm1'],
      scaling: {
        minimum: 1,
        maximum: 3,
        startMilliseconds: 4_000,
        reclaimablePrice: 0.2,
        zonePrices: { z1: 1, z2: 0.9, z3: 1.2 },
      },
    },
  ],
  workspaces: [{ name: 'yard', keys: ['key-1'], priority: null }],
  limits: {
    maximumHeaderBytes: 16_384,
    maximumBodyBytes: 1_048_576,
    headerMilliseconds: 3_000,
    idleMilliseconds: 15_000,
  },
});

export const testDeclarationCommand = (version = 1, digest = `d${version}`): DeclarationSet => ({
  kind: 'declarationSet',
  version,
  digest,
  document: `{"version":${version}}`,
  declaration: testDeclaration(version),
});

export const testItem = (item: string, group = 'g1'): JobItem => ({
  item,
  path: `/plan/${item}`,
  headers: {},
  body: new Uint8Array([1, 2, 3]),
  tokens: 100,
  expectedTokens: null,
  group,
  scorer: null,
});

export const testJob = (
  job: string,
  items: readonly JobItem[],
  columns: Partial<JobSubmitted> = {},
): JobSubmitted => ({
  kind: 'jobSubmitted',
  job,
  workspace: 'yard',
  host: 'yard.example',
  path: '/plan/lots',
  model: 'm0',
  step: 1,
  minimumVersion: 1,
  groupCount: 1,
  submittedAt: 8_000,
  items: [...items],
  homeRegions: [],
  holders: [],
  ...columns,
});

/** An engine with two slots, of software v1, that serves both models in version 1; `columns` overrides any field. */
export const testEngine = (
  upstream: string,
  columns: Partial<Registration> = {},
): Registration => ({
  upstream,
  service: 'planner',
  address: `127.0.0.1:${8_000 + Number(upstream.slice(1))}`,
  zone: 'z1',
  state: RegistrationState.Ready,
  slots: 2,
  isReclaimable: false,
  softwareVersion: 'v1',
  models: [
    { name: 'm0', version: 1 },
    { name: 'm1', version: 1 },
  ],
  startedAt: 1,
  sequence: 1,
  ...columns,
});
