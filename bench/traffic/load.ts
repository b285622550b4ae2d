/**
 * Seeded loads at the sizes of both deployments: workspaces with their work classes, one of which floods
 * the deployment in the second third of the time, and the upstreams that they share.
 */
import { asBrand } from '../../src/base/common/brand.js';
import { createRandom, type Random } from '../../src/base/common/random.js';
import type { Instant } from '../../src/base/common/time.js';
import {
  treeSchema,
  WorkClass,
  type Policy,
  type Tree,
} from '../../src/service/configuration/common/tree.js';
import type { DirectUpstreamSettings } from '../../standins/virtual/directUpstreams.js';
import { digestOf } from '../../standins/virtual/testDeployment.js';
import type { ServiceName } from '../../src/service/world/common/identifiers.js';

/** One workspace of a load. */
export interface WorkspaceLoad {
  readonly name: string;
  readonly workClass: WorkClass;
  /** Share of the capacity that its requests need outside the flood. */
  readonly share: number;
}

/** One request of a load. */
export interface LoadRequest {
  readonly at: Instant;
  readonly workspace: string;
  readonly workClass: WorkClass;
  readonly tokens: number;
  /** Index of the entry that receives the request, from 0. */
  readonly entry: number;
}

/** A deployment and the load on it. */
export interface LoadSettings {
  readonly name: string;
  readonly engines: number;
  readonly reclaimableEngines: number;
  readonly slots: number;
  readonly millisecondsPerToken: number;
  readonly workspaces: readonly WorkspaceLoad[];
  /** The workspace that floods in the second third of the time, and its share of the capacity then. */
  readonly flood: { readonly workspace: string; readonly share: number };
  readonly seed: number;
}

export const entryCount = 7;
export const loadDurationMilliseconds = 60_000;
const minimumTokens = 40;
const tokenRange = 120;
const meanTokens = minimumTokens + tokenRange / 2;
const randomRange = 1_000_000;

const workspaces: readonly WorkspaceLoad[] = [
  { name: 'large-prompt', workClass: WorkClass.Prompt, share: 0.2 },
  { name: 'large-bulk', workClass: WorkClass.Bulk, share: 0.2 },
  { name: 'large-batch', workClass: WorkClass.Bulk, share: 0.2 },
  { name: 'desk-a', workClass: WorkClass.Prompt, share: 0.04 },
  { name: 'desk-b', workClass: WorkClass.Prompt, share: 0.04 },
  { name: 'desk-c', workClass: WorkClass.Prompt, share: 0.04 },
  { name: 'sync', workClass: WorkClass.Bulk, share: 0.04 },
  { name: 'thesis', workClass: WorkClass.Bulk, share: 0.04 },
];
const flood = { workspace: 'large-prompt', share: 2.2 };

/** One load for each of the two deployments of the users. */
export const loads: readonly LoadSettings[] = [
  {
    name: 'kestrelkloof',
    engines: 6,
    reclaimableEngines: 2,
    slots: 8,
    millisecondsPerToken: 10,
    workspaces,
    flood,
    seed: 21,
  },
  {
    name: 'agency',
    engines: 12,
    reclaimableEngines: 4,
    slots: 4,
    millisecondsPerToken: 10,
    workspaces,
    flood,
    seed: 22,
  },
];

/** Requests per second that the engines of a load can answer. */
export const computeRequestCapacity = ({
  engines,
  slots,
  millisecondsPerToken,
}: LoadSettings): number => (engines * slots * 1_000) / (meanTokens * millisecondsPerToken);

/** Samples the exponential distribution with the given mean. */
const sampleExponential = (random: Random, mean: number): number =>
  -mean * Math.log(1 - random.nextInteger(randomRange) / randomRange);

const computeShare = (load: LoadSettings, workspace: WorkspaceLoad, at: Instant): number => {
  const isFlood = at >= loadDurationMilliseconds / 3 && at < (2 * loadDurationMilliseconds) / 3;
  return isFlood && workspace.name === load.flood.workspace ? load.flood.share : workspace.share;
};

const createWorkspaceRequests = (load: LoadSettings, workspace: WorkspaceLoad, random: Random) => {
  const requests: LoadRequest[] = [];
  let at = 0;
  for (;;) {
    const share = computeShare(load, workspace, at);
    at += sampleExponential(random, 1_000 / (computeRequestCapacity(load) * share));
    if (at >= loadDurationMilliseconds) return requests;
    requests.push({
      at,
      workspace: workspace.name,
      workClass: workspace.workClass,
      tokens: minimumTokens + random.nextInteger(tokenRange),
      entry: random.nextInteger(entryCount),
    });
  }
};

/** Creates the requests of a load in the order of arrival; equal seeds give equal requests. */
export const createRequests = (load: LoadSettings): readonly LoadRequest[] => {
  const random = createRandom(load.seed);
  return load.workspaces
    .flatMap((workspace) => createWorkspaceRequests(load, workspace, random))
    .sort((first, second) => first.at - second.at);
};

/** Creates the settings of the upstreams of a load; the last ones are reclaimable. */
export const createUpstreamSettings = (load: LoadSettings): readonly DirectUpstreamSettings[] =>
  Array.from({ length: load.engines }, (_, index) => ({
    name: `engine-${index}`,
    service: 'model',
    models: ['model'],
    zone: `z${(index % 3) + 1}`,
    slots: load.slots,
    reclaimable: index >= load.engines - load.reclaimableEngines,
    millisecondsPerToken: load.millisecondsPerToken,
  }));

const createPolicy = (workspace: WorkspaceLoad): Partial<Policy> => ({
  workClass: workspace.workClass,
});

/** Creates the settings tree of a load; the key of each workspace is its name. */
export const createLoadTree = (load: LoadSettings, policy: Partial<Policy>): Tree =>
  treeSchema.parse({
    policy,
    services: { model: { kind: 'engine', models: ['model'] } },
    workspaces: Object.fromEntries(
      load.workspaces.map((workspace) => [
        workspace.name,
        {
          policy: createPolicy(workspace),
          services: ['model'],
          keys: { main: { digest: digestOf(workspace.name) } },
        },
      ]),
    ),
  });

export const modelService: ServiceName = asBrand('model');
