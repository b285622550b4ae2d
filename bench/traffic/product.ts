/**
 * Runs a load through seven real cores on virtual time, and collects the outcomes of its requests.
 */
import type { Policy } from '../../src/service/configuration/common/tree.js';
import { EventKind } from '../../src/service/events/common/eventKind.js';
import {
  createDirectUpstreams,
  type DirectUpstreams,
} from '../../standins/virtual/directUpstreams.js';
import { createTestDeployment } from '../../standins/virtual/testDeployment.js';
import { sendRequest } from '../../standins/virtual/trafficFixture.js';
import {
  createVirtualInstallation,
  type VirtualInstallation,
} from '../../standins/virtual/virtualInstallation.js';
import {
  createLoadTree,
  createRequests,
  createUpstreamSettings,
  entryCount,
  loadDurationMilliseconds,
  type LoadRequest,
  type LoadSettings,
} from './load.js';
import type { Outcome } from './outcome.js';

/** The results of a run; `maximumRowsOnEntry` is the peak number of request rows on one entry. */
export interface ProductRun {
  readonly outcomes: readonly Outcome[];
  readonly maximumRowsOnEntry: number;
  readonly refusalsThatRan: number;
  readonly attempts: number;
}

const startupMilliseconds = 1_500;
const drainMilliseconds = 30_000;

const collectOutcomes = (
  installation: VirtualInstallation,
  sentRequests: ReadonlyMap<string, LoadRequest>,
  upstreams: DirectUpstreams,
  loadStartedAt: number,
) => {
  const startTimes = new Map<string, number>();
  const endEvents = new Map<string, { readonly at: number; readonly kind: string }>();
  installation.events().forEach(({ kind, subject, at }) => {
    const request = String(subject.request);
    if (kind === EventKind.AttemptStarted && !startTimes.has(request)) startTimes.set(request, at);
    if (kind === EventKind.RequestAnswered || kind === EventKind.RequestRefused) {
      endEvents.set(request, { at, kind });
    }
  });
  const executedRequests = new Set<string>(upstreams.runs().map((run) => run.request));
  const outcomes = [...sentRequests].map(([id, request]) => {
    const end = endEvents.get(id);
    const isAnswered = end?.kind === EventKind.RequestAnswered;
    const until = isAnswered ? startTimes.get(id)! : (end?.at ?? installation.now());
    const endedAt = (end?.at ?? installation.now()) - loadStartedAt;
    return { request, isAnswered, endedAt, waitMilliseconds: until - loadStartedAt - request.at };
  });
  const refused = [...endEvents].filter(([, end]) => end.kind === EventKind.RequestRefused);
  return { outcomes, refusalsThatRan: refused.filter(([id]) => executedRequests.has(id)).length };
};

/** Runs a load through the cores with a policy; `requests` defaults to those of the load. */
export const runProduct = (
  load: LoadSettings,
  policy: Partial<Policy>,
  requests: readonly LoadRequest[] = createRequests(load),
): ProductRun => {
  const upstreams = createDirectUpstreams(createUpstreamSettings(load));
  const installation = createVirtualInstallation({
    deployment: createTestDeployment(entryCount, 3),
    tree: createLoadTree(load, policy),
    seed: load.seed,
    ports: [upstreams.createPort],
  });
  installation.runFor(startupMilliseconds);
  const sentRequests = new Map<string, LoadRequest>();
  let maximumRowsOnEntry = 0;
  requests.forEach((request) =>
    installation.schedule(request.at, () => {
      const entry = `d${request.entry + 1}`;
      const { workspace: key, tokens: estimatedTokens } = request;
      sentRequests.set(sendRequest(installation, entry, { key, estimatedTokens }), request);
      const rows = installation.daemon(entry).core.world.requests.size();
      maximumRowsOnEntry = Math.max(maximumRowsOnEntry, rows);
    }),
  );
  installation.runFor(loadDurationMilliseconds + drainMilliseconds);
  return {
    ...collectOutcomes(installation, sentRequests, upstreams, startupMilliseconds),
    maximumRowsOnEntry,
    attempts: upstreams.runs().length,
  };
};
