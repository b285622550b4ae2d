/**
 * Suspects requests whose run broke of having ended the process that ran them, and asks the port to
 * look whether the address of the process still accepts connections. Called by the systems that end
 * runs; the quarantine system decides about the suspicions.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant, type Milliseconds } from '../../../base/common/time.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { countedEndsOf } from './crashRecords.js';
import type { Fingerprint } from './fingerprint.js';
import {
  processEndOf,
  SuspicionCause,
  upstreamOfEnd,
  type SuspicionId,
  type UpstreamProcess,
} from './quarantineTables.js';

/**
 * Time after a broken run within which evidence counts. A process is back after some seconds, and
 * its absence is noticed after at most six.
 */
const evidenceMilliseconds: Milliseconds = 10_000;

/** Time for a process that ends to close its listener, which may follow its connections. */
const probeDelayMilliseconds: Milliseconds = 50;

/** With 1.9 KB for a row and its probe, a flood of broken runs uses at most 3.9 MB. */
const maximumSuspicions = 2_000;

/** A run that ended without an answer. */
export interface UnansweredRun {
  readonly fingerprint: Fingerprint | null;
  /** Request identifier, for events. */
  readonly request: string;
  readonly process: UpstreamProcess;
  readonly cause: SuspicionCause;
  readonly reason: string;
}

/** Only a broken connection is worth the price of a new one; silence never is. */
const isProbedByCause: Readonly<Record<SuspicionCause, boolean>> = {
  broken: true,
  timedOut: false,
};

/** Plans a probe of the address; there is at most one at a time for each upstream. */
const planProbe = (world: World, process: UpstreamProcess, now: Instant): void => {
  const { upstream, address, startedAt } = process;
  if (world.addressProbes.has(upstream)) return;
  const startDeadline = deadlineAfter(now, probeDelayMilliseconds);
  world.addressProbes.put({ id: upstream, address, startedAt, isOpen: false, startDeadline });
};

/** Makes room for one more suspicion; the oldest has had the most time for evidence. */
const removeSurplusSuspicion = (world: World): void => {
  if (world.suspicions.size() < maximumSuspicions) return;
  const [oldest] = world.suspicions.rows();
  if (oldest !== undefined) world.suspicions.remove(oldest.id);
  world.metrics.count('quarantine.suspicionsDropped');
};

/** Records that a run ended without an answer, so that its process may have ended. */
export const suspectRun = (world: World, run: UnansweredRun, now: Instant): void => {
  const { fingerprint, request, process, cause, reason } = run;
  if (fingerprint === null) return;
  const id = asBrand<SuspicionId>(`${fingerprint}|${processEndOf(process)}`);
  if (!world.suspicions.has(id)) removeSurplusSuspicion(world);
  world.suspicions.put({
    ...process,
    id,
    fingerprint,
    cause,
    request,
    suspectedAt: now,
    isAccepting: false,
    evidenceDeadline: deadlineAfter(now, evidenceMilliseconds),
  });
  world.metrics.count('quarantine.suspected', 1, { cause });
  world.events.append({
    kind: EventKind.CrashSuspected,
    subject: { request, fingerprint, upstream: process.upstream, cause, reason },
  });
  if (isProbedByCause[cause]) planProbe(world, process, now);
};

/** Returns the upstreams that may have ended under a request, or are known to have. */
export const listCrashedUpstreams = (
  world: World,
  fingerprint: Fingerprint | null,
): UpstreamId[] => {
  if (fingerprint === null) return [];
  const record = world.crashRecords.get(fingerprint);
  return [
    ...world.suspicions
      .where('fingerprint', fingerprint)
      .filter(({ isAccepting }) => !isAccepting)
      .map(({ upstream }) => upstream),
    ...(record === undefined ? [] : countedEndsOf(record).map(upstreamOfEnd)),
  ];
};
