/**
 * The two installations on which the proof runs, with their services, upstream counts and link latencies.
 */
import type { ValueOf } from '../../src/base/common/handlers.js';
import type { Deployment } from '../../src/infrastructure/settings/common/deployment.js';
import type { Tree } from '../../src/service/configuration/common/tree.js';
import { loadInstallation } from '../../src/service/configuration/node/loadInstallation.js';
import { UpstreamKind } from '../../src/service/protocol/common/upstreamProtocol.js';
import type { LinkLatencies } from '../../standins/virtual/links.js';
import type { VirtualUpstreamSettings } from '../../standins/virtual/virtualUpstream.js';

export const InstallationName = { Kestrelkloof: 'kestrelkloof', Agency: 'agency' } as const;
export type InstallationName = ValueOf<typeof InstallationName>;

/** The properties of an installation that its settings do not contain. */
interface InstallationProfile {
  readonly latencies: LinkLatencies;
  readonly engineService: string;
  readonly engineCount: number;
  readonly plainService: string;
  readonly plainCount: number;
  /** Two workspaces that may use the engines, and one that may use the plain service. */
  readonly engineWorkspace: string;
  readonly otherWorkspace: string;
  readonly plainWorkspace: string;
}

/** An installation with its deployment, settings tree and upstreams, ready to run on virtual time. */
export interface ProofInstallation extends InstallationProfile {
  readonly name: InstallationName;
  readonly deployment: Deployment;
  readonly tree: Tree;
  readonly upstreams: readonly VirtualUpstreamSettings[];
}

const profiles: Readonly<Record<InstallationName, InstallationProfile>> = {
  kestrelkloof: {
    latencies: { withinZone: 0.1, betweenZones: 0.5, betweenRegions: 12, toClients: 3 },
    engineService: 'planner-lm',
    engineCount: 6,
    plainService: 'yard-app',
    plainCount: 3,
    engineWorkspace: 'stacking-planner',
    otherWorkspace: 'bay-plans',
    plainWorkspace: 'bay-booking',
  },
  agency: {
    latencies: { withinZone: 0.1, betweenZones: 1.5, betweenRegions: 12, toClients: 1 },
    engineService: 'taalbank',
    engineCount: 6,
    plainService: 'restbalie',
    plainCount: 6,
    engineWorkspace: 'offcuts',
    otherWorkspace: 'room-matching',
    plainWorkspace: 'counter',
  },
};

const engineDefaults = {
  kind: UpstreamKind.Engine,
  slots: 8,
  tokensPerSecond: 100,
  answerTokens: 100,
  weightVersion: 1,
};

const plainDefaults = {
  kind: UpstreamKind.Plain,
  slots: 8,
  tokensPerSecond: 100,
  answerTokens: 30,
  weightVersion: null,
};

/** Every third engine is reclaimable. */
const reclaimableInterval = 3;

const createUpstreamSettings = (
  { engineCount, engineService, plainCount, plainService }: InstallationProfile,
  zones: readonly string[],
): VirtualUpstreamSettings[] => {
  const selectZone = (index: number): string => zones[index % zones.length]!;
  const engines = Array.from({ length: engineCount }, (_, index) => ({
    ...engineDefaults,
    name: `engine-${index + 1}`,
    service: engineService,
    zone: selectZone(index),
    reclaimable: index % reclaimableInterval === reclaimableInterval - 1,
  }));
  const plain = Array.from({ length: plainCount }, (_, index) => ({
    ...plainDefaults,
    name: `plain-${index + 1}`,
    service: plainService,
    zone: selectZone(index),
    reclaimable: false,
  }));
  return [...engines, ...plain];
};

const createInstallation = (name: InstallationName): ProofInstallation => {
  const result = loadInstallation(`examples/${name}.toml`);
  if (result.isErr()) throw new Error(result.error.message);
  const { deployment, tree } = result.value;
  const zones = [...new Set(deployment.daemons.map(({ zone }) => zone))];
  const upstreams = createUpstreamSettings(profiles[name], zones);
  return { ...profiles[name], name, deployment, tree, upstreams };
};

const installationCache = new Map<InstallationName, ProofInstallation>();

/** Returns an installation, loaded once from `examples/`; throws if its file is invalid. */
export const getInstallation = (name: InstallationName): ProofInstallation => {
  const installation = installationCache.get(name) ?? createInstallation(name);
  installationCache.set(name, installation);
  return installation;
};
