/**
 * Decides about suspicions and quarantines. It runs over suspicions that are new or fell due, over
 * processes that changed, and over the results of connection attempts: a suspicion becomes a
 * recorded process end with evidence that the process ended, and is dismissed without. A request
 * with enough process ends is quarantined.
 */
import type { Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { UpstreamId } from '../../world/common/identifiers.js';
import type { World } from '../../world/common/world.js';
import { countedEndsOf, recordProcessEnd } from './crashRecords.js';
import type { Fingerprint } from './fingerprint.js';
import type { ProcessDirectory } from './processDirectory.js';
import type { QuarantinePolicy } from './quarantinePolicy.js';
import {
  ProcessEvidence,
  processEndOf,
  type AddressFact,
  type AddressState,
  type SuspicionCause,
  type SuspicionRow,
} from './quarantineTables.js';

const dismissSuspicion = (world: World, { id }: SuspicionRow, reason: string): void => {
  world.suspicions.remove(id);
  world.metrics.count('quarantine.dismissed', 1, { reason });
};

const confirmSuspicion = (
  world: World,
  row: SuspicionRow,
  evidence: ProcessEvidence,
  now: Instant,
): void => {
  world.suspicions.remove(row.id);
  const { fingerprint, request, upstream, startedAt } = row;
  recordProcessEnd(world, fingerprint, processEndOf(row), now);
  world.metrics.count('quarantine.processEnds', 1, { evidence });
  world.events.append({
    kind: EventKind.ProcessEndRecorded,
    subject: {
      fingerprint,
      request,
      upstream,
      startedAt,
      evidence,
      afterMilliseconds: Math.round(now - row.suspectedAt),
      ends: world.crashRecords.get(fingerprint)?.ends.length ?? 0,
    },
  });
};

/** Decides about a suspicion if what is known of the process allows it. */
const checkSuspicion = (
  world: World,
  directory: ProcessDirectory,
  row: SuspicionRow,
  now: Instant,
): void => {
  if (directory.hasAnnouncedLeaving(world, row)) dismissSuspicion(world, row, 'leaving');
  else if (directory.hasLaterStart(world, row))
    confirmSuspicion(world, row, ProcessEvidence.LaterStart, now);
};

/** An unresponsive process may be cut off, so only a broken connection makes absence evidence. */
const isAbsenceEvidence: Readonly<Record<SuspicionCause, boolean>> = {
  broken: true,
  timedOut: false,
};

/** Decides about a suspicion at the end of the time in which evidence counts. */
const endSuspicion = (
  world: World,
  directory: ProcessDirectory,
  row: SuspicionRow,
  now: Instant,
): void => {
  const isAbsent =
    !row.isAccepting &&
    directory.find(world, row.upstream) === undefined &&
    directory.isCurrent(world, now) &&
    !directory.hasAnnouncedLeaving(world, row);
  if (isAbsent && isAbsenceEvidence[row.cause])
    confirmSuspicion(world, row, ProcessEvidence.ReportsStopped, now);
  else dismissSuspicion(world, row, 'noEvidence');
};

const addressHandlers: Readonly<
  Record<AddressState, (world: World, row: SuspicionRow, now: Instant) => void>
> = {
  refusing: (world, row, now) =>
    confirmSuspicion(world, row, ProcessEvidence.ConnectionRefused, now),
  accepting: (world, { id }) => {
    world.suspicions.change(id, { isAccepting: true });
  },
  unclear: () => {},
};

const handleAddressFact = (
  world: World,
  directory: ProcessDirectory,
  { address, state }: AddressFact,
  now: Instant,
): void => {
  world.addressProbes
    .where('address', address)
    .filter(({ isOpen }) => isOpen)
    .forEach(({ id }) => world.addressProbes.remove(id));
  world.suspicions
    .where('address', address)
    .filter((row) => !directory.hasAnnouncedLeaving(world, row))
    .forEach((row) => addressHandlers[state](world, row, now));
};

/** Starts a probe whose time has come, unless its suspicions have been decided. */
const startProbe = (world: World, id: UpstreamId): void => {
  if (world.suspicions.count('upstream', id) === 0) world.addressProbes.remove(id);
  else {
    world.addressProbes.change(id, { isOpen: true });
    world.metrics.count('quarantine.probes');
  }
};

const updateQuarantine = (
  world: World,
  { processEndThreshold }: QuarantinePolicy,
  id: Fingerprint,
): void => {
  const record = world.crashRecords.get(id);
  if (record === undefined) return;
  const ends = countedEndsOf(record);
  const isQuarantined = ends.length >= processEndThreshold;
  if (isQuarantined === record.isQuarantined) return;
  world.crashRecords.change(id, { isQuarantined });
  if (!isQuarantined) return;
  world.metrics.count('requests.quarantined');
  world.events.append({
    kind: EventKind.RequestQuarantined,
    subject: { fingerprint: id, ends: ends.join(',') },
  });
};

/** Creates the factory of the system for a policy. */
export const createQuarantineSystemFor =
  (policy: QuarantinePolicy) =>
  (world: World): System => {
    const { directory } = policy;
    const processChanges = directory.createChangeReader(world);
    const suspicionChanges = world.suspicions.createChangeReader();
    const recordChanges = world.crashRecords.createChangeReader();

    const listChangedSuspicions = (): SuspicionRow[] => [
      ...processChanges
        .take()
        .map((id) => directory.find(world, id))
        .filter((process) => process !== undefined)
        .flatMap(({ upstream, address }) => [
          ...world.suspicions.where('upstream', upstream),
          ...world.suspicions.where('address', address),
        ]),
      ...suspicionChanges
        .take()
        .map((id) => world.suspicions.get(id))
        .filter((row) => row !== undefined),
    ];

    return {
      name: 'quarantine',
      run: (now) => {
        world.addressFacts
          .takeAll()
          .forEach((fact) => handleAddressFact(world, directory, fact, now));
        new Set(listChangedSuspicions().map(({ id }) => id)).forEach((id) => {
          const row = world.suspicions.get(id);
          if (row !== undefined) checkSuspicion(world, directory, row, now);
        });
        world.suspicions
          .takeDue('evidence', now)
          .forEach((row) => endSuspicion(world, directory, row, now));
        world.addressProbes.takeDue('start', now).forEach(({ id }) => startProbe(world, id));
        world.crashRecords
          .takeDue('expiry', now)
          .forEach(({ id }) => world.crashRecords.remove(id));
        recordChanges.take().forEach((id) => updateQuarantine(world, policy, id));
      },
    };
  };
