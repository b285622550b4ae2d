/**
 * Daemons with the declaration profile on virtual time, workers that may end under calls, and
 * callers that send the same call again to any daemon.
 */
import { asBrand } from '../../../../base/common/brand.js';
import type { Instant, Milliseconds } from '../../../../base/common/time.js';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import {
  createVirtualInstallation,
  type VirtualOptions,
} from '../../../../../standins/virtual/virtualInstallation.js';
import {
  createVirtualWorkers,
  submitCall,
  WorkerOutcome,
  type WorkerTiming,
} from '../../../../../standins/virtual/virtualWorkers.js';
import { Profile } from '../../../core/common/core.js';
import type { CallId, CallRow } from '../../../forwarding/common/forwardingTables.js';
import type { CrashRecordRow } from '../../common/quarantineTables.js';

export const controlDaemons = ['d1', 'd2', 'd3'];
const daemonCount = 6;
const workerCount = 12;
const warmUpMilliseconds: Milliseconds = 8_000;
/** Time within which all daemons that are in touch know of the third process end. */
export const contactMilliseconds: Milliseconds = 4_000;
export const processEndThreshold = 3;
const retryIntervalMilliseconds: Milliseconds = 700;

/** Fingerprint of the calls that `sendRepeatedly` sends. */
export const poisonFingerprint = 'yard|poison';

/** Settings in which the fleets of the tests differ. */
export interface FleetOptions
  extends Pick<VirtualOptions, 'isLost' | 'onDidSendMessage'>, WorkerTiming {
  readonly seed?: number;
}

/** Three control daemons that also serve calls, and three entries; the declaration is in force. */
export const createFleet = ({
  seed = 7,
  runMilliseconds,
  returnMilliseconds,
  isLost,
  onDidSendMessage,
}: FleetOptions = {}) => {
  const workers = createVirtualWorkers(workerCount, { runMilliseconds, returnMilliseconds });
  let isLossy = false;
  const installation = createVirtualInstallation({
    deployment: {
      ...createTestDeployment(daemonCount, controlDaemons.length),
      discovery: Discovery.Announced,
    },
    tree: createTestTree(),
    seed,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: 3 },
    ...(onDidSendMessage === undefined ? {} : { onDidSendMessage }),
    ports: [workers.createPort],
    isLost: (from, to, message) => isLossy && isLost?.(from, to, message) === true,
  });
  workers.start(installation, controlDaemons);
  installation.runFor(warmUpMilliseconds);
  installation.daemon('d1').core.world.proposals.append({
    id: asBrand('declare'),
    command: testDeclarationCommand(),
    proposalDeadline: installation.now() + warmUpMilliseconds,
  });
  installation.wake('d1');
  installation.runFor(warmUpMilliseconds);
  workers.setOutcomeSelector((requestId) =>
    requestId.startsWith('poison') ? WorkerOutcome.End : WorkerOutcome.Answer,
  );
  isLossy = true;
  return { installation, workers };
};
export type Fleet = ReturnType<typeof createFleet>;

/** Returns a call that a daemon still holds. */
export const readCall = (
  { installation }: Fleet,
  daemon: string,
  requestId: string,
): CallRow | undefined =>
  installation.daemon(daemon).core.world.calls.get(asBrand<CallId>(requestId));

/** Returns what a daemon knows of the crashing call. */
export const readRecord = ({ installation }: Fleet, daemon: string): CrashRecordRow | undefined =>
  installation.daemon(daemon).core.world.crashRecords.get(asBrand(poisonFingerprint));

/** Sends the same call again and again under new identifiers, each time to the next daemon. */
export const sendRepeatedly = (fleet: Fleet, count: number, prefix = 'poison'): void => {
  const names = [...fleet.installation.runningNames()].sort();
  Array.from({ length: count }, (_, index) => {
    const requestId = `${prefix}-${fleet.installation.now()}`;
    submitCall(fleet.installation, names[index % names.length]!, requestId, 'poison');
    return fleet.installation.runFor(retryIntervalMilliseconds);
  });
};

/** Returns the time of the third process end, after which the call is to reach no worker. */
export const thirdEndOf = ({ workers }: Fleet): Instant =>
  workers.ends()[processEndThreshold - 1]!.at;

/** Returns the number of runs that began later than the contact time after the third end. */
export const countLateRuns = (fleet: Fleet): number => {
  const deadline = thirdEndOf(fleet) + contactMilliseconds;
  return fleet.workers.runs().filter(({ at }) => at > deadline).length;
};

/** Events of a kind with their subjects, from all daemons. */
export const listSubjects = ({ installation }: Fleet, kind: string) =>
  installation
    .events()
    .filter((event) => event.kind === kind)
    .map(({ subject }) => subject);
