/**
 * Runs a load through seven real cores on virtual time.
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
  loadMilliseconds,
  type LoadRequest,
  type LoadSettings,
} from './load.js';
import type { Outcome } from './outcome.js';

/** What a run gives: the outcomes, and the most requests that one entry held at once. */
export interface ProductRun {
  readonly outcomes: readonly Outcome[];
  readonly mostRowsOnEntry: number;
  readonly refusalsThatRan: number;
  readonly attempts: number;
}

const settleMilliseconds = 1_500;
const drainMilliseconds = 30_000;

const collect = (
  installation: VirtualInstallation,
  sent: ReadonlyMap<string, LoadRequest>,
  upstreams: DirectUpstreams,
  offset: number,
) => {
  const starts = new Map<string, number>();
  const ends = new Map<string, { readonly at: number; readonly kind: string }>();
  installation.events().forEach(({ kind, subject, at }) => {
    const request = String(subject.request);
    if (kind === EventKind.AttemptStarted && !starts.has(request)) starts.set(request, at);
    if (kind === EventKind.RequestAnswered || kind === EventKind.RequestRefused) {
      ends.set(request, { at, kind });
    }
  });
  const ran = new Set<string>(upstreams.runs().map((run) => run.request));
  const outcomes = [...sent].map(([id, request]) => {
    const end = ends.get(id);
    const isAnswered = end?.kind === EventKind.RequestAnswered;
    const until = isAnswered ? starts.get(id)! : (end?.at ?? installation.now());
    const endedAt = (end?.at ?? installation.now()) - offset;
    return { request, isAnswered, endedAt, wait: until - offset - request.at };
  });
  const refused = [...ends].filter(([, end]) => end.kind === EventKind.RequestRefused);
  return { outcomes, refusalsThatRan: refused.filter(([id]) => ran.has(id)).length };
};

/** Runs the requests of a load through the product. */
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
  installation.runFor(settleMilliseconds);
  const sent = new Map<string, LoadRequest>();
  let mostRowsOnEntry = 0;
  requests.forEach((request) =>
    installation.schedule(request.at, () => {
      const entry = `d${request.entry + 1}`;
      const { workspace: key, tokens: estimatedTokens } = request;
      sent.set(sendRequest(installation, entry, { key, estimatedTokens }), request);
      const rows = installation.daemon(entry).core.world.requests.size();
      mostRowsOnEntry = Math.max(mostRowsOnEntry, rows);
    }),
  );
  installation.runFor(loadMilliseconds + drainMilliseconds);
  return {
    ...collect(installation, sent, upstreams, settleMilliseconds),
    mostRowsOnEntry,
    attempts: upstreams.runs().length,
  };
};
