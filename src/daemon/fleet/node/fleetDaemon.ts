/**
 * Opens a daemon whose installation is configured by declarations: the core with the declaration
 * profile and its ports. The routes for callers are not included; the program that opens the daemon
 * provides them.
 */
import { err, ok, type Result } from 'neverthrow';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import type { Event } from '../../../base/common/emitter.js';
import { createDaemonRandom } from '../../../base/common/random.js';
import type { Clock, ClockJump, WallClock } from '../../../base/common/time.js';
import type { Log } from '../../../infrastructure/log/node/log.js';
import type { Metrics } from '../../../infrastructure/metrics/common/metrics.js';
import type {
  DaemonSettings,
  Deployment,
} from '../../../infrastructure/settings/common/deployment.js';
import type { FleetSettings } from '../../../infrastructure/settings/common/fleetSettings.js';
import type { ListenError } from '../../../infrastructure/sockets/node/listen.js';
import type { StorageError } from '../../../infrastructure/storage/common/storageError.js';
import {
  createTickDriver,
  type TickDriver,
} from '../../../infrastructure/tables/node/tickDriver.js';
import { createHybridLogicalClock } from '../../../infrastructure/timeline/common/hybridLogicalClock.js';
import { treeSchema } from '../../../service/configuration/common/tree.js';
import { createCore, Profile } from '../../../service/core/common/core.js';
import type { World } from '../../../service/world/common/world.js';
import { noopStoragePort, openStoragePort } from '../../consensus/node/storagePort.js';
import {
  createCapacityOrderPort,
  type SendCapacityOrder,
} from '../../duties/node/capacityOrderPort.js';
import { createUsageReportPort, type SendUsageReport } from '../../duties/node/usageReportPort.js';
import { createWeightOrderPort } from '../../duties/node/weightOrderPort.js';
import { createAddressProbePort } from '../../quarantine/node/addressProbePort.js';
import type { UnreadAnswers } from '../../../service/admission/common/unreadAnswers.js';
import { createCallPort, type CallPort } from '../../forwarding/node/callPort.js';
import { createUpstreamClient } from '../../forwarding/node/upstreamClient.js';
import type { UpstreamDialect } from '../../forwarding/node/upstreamDialect.js';
import { createContentPort, type ContentPort } from '../../jobs/common/contentPort.js';
import {
  computeContentDigest,
  openFileContentStore,
  unavailableContentStore,
} from '../../jobs/node/fileContentStore.js';
import { createJobReadPort, type JobReadPort } from '../../jobs/node/jobReadPort.js';
import { createRunPort } from '../../jobs/node/runPort.js';
import { createScoringRequestFinder } from '../../jobs/node/scoringRequests.js';
import { openPeerPort } from '../../peers/node/peerPort.js';
import { createProposalPort, type ProposalPort } from '../../proposals/node/proposalPort.js';
import { createEventLog } from './eventLog.js';

/** Dependencies and settings of a daemon. */
export interface FleetDaemonOptions {
  readonly deployment: Deployment;
  readonly self: DaemonSettings;
  readonly fleet: FleetSettings;
  /** Names of the voters of the replicated log. */
  readonly voters: readonly string[];
  readonly dialect: UpstreamDialect;
  readonly sendUsageReport: SendUsageReport;
  readonly sendCapacityOrder: SendCapacityOrder;
  readonly clock: Clock;
  /** Fires when `clock` jumps, before it returns a reading that includes the jump. */
  readonly onDidClockJump?: Event<ClockJump>;
  readonly wallClock: WallClock;
  readonly metrics: Metrics;
  readonly log: Log;
  /** Returns the number of lines dropped since the last call because the log queue was full. */
  readonly takeDroppedLineCount: () => number;
  /** Answers that the listeners of the process keep for callers. */
  readonly unreadAnswers?: UnreadAnswers;
}

/** A running daemon. */
export interface FleetDaemon extends AsyncDisposable {
  readonly world: World;
  readonly clock: Clock;
  /** Requests a tick; call it after appending rows. */
  readonly wake: () => void;
  readonly calls: CallPort;
  readonly jobReads: JobReadPort;
  readonly contents: ContentPort;
  readonly proposals: ProposalPort;
}

export type FleetDaemonError = ListenError | StorageError;

/** Settings tree of an installation that is configured by declarations only. */
const emptyTree = treeSchema.parse({ policy: {}, services: {}, workspaces: {} });

/** Opens a daemon; the error names the address or folder that could not be used. */
export const openFleetDaemon = async (
  options: FleetDaemonOptions,
): Promise<Result<FleetDaemon, FleetDaemonError>> => {
  const { deployment, self, fleet, voters, dialect, clock, wallClock, metrics, log } = options;
  const incarnation = wallClock();
  const hybridClock = createHybridLogicalClock(wallClock);
  const random = createDaemonRandom(self.name, incarnation);
  const { world, ticker } = createCore(
    { deployment, self, tree: emptyTree, incarnation, random, metrics, voters, fleet, wallClock },
    clock(),
    Profile.Declaration,
  );

  const clockJumps = options.onDidClockJump?.((jump) => world.clockJumps.append(jump));
  let driver: TickDriver | undefined;
  const wake = (): void => driver?.wake();
  const wakeSoon = (): void => driver?.wakeSoon();
  const client = createUpstreamClient();
  const findScoringRequest = createScoringRequestFinder(world, dialect, wake);
  const calls = createCallPort(
    world,
    client,
    dialect,
    findScoringRequest,
    clock,
    wake,
    options.unreadAnswers,
  );
  const addressProbes = createAddressProbePort(world, wake);
  const jobReads = createJobReadPort(world, clock, wake);
  const proposals = createProposalPort(world, clock, wake);
  const contentStore =
    self.dataFolder === undefined
      ? unavailableContentStore
      : openFileContentStore(self.dataFolder, wallClock);
  const contents = createContentPort(world, contentStore, computeContentDigest, clock, wake);
  const runs = createRunPort(world, client, dialect, clock, wake, wakeSoon);
  const weightOrders = createWeightOrderPort(world, client, dialect, clock, wake);
  const usageReports = createUsageReportPort(world, options.sendUsageReport, clock, wake);
  const capacityOrders = createCapacityOrderPort(world, options.sendCapacityOrder, clock, wake);
  const events = createEventLog(world, log, clock, options.takeDroppedLineCount);

  const openStorage = (folder: string) =>
    openStoragePort(
      world,
      folder,
      wake,
      (error) => log.error({ kind: error.kind }, error.message),
      { shouldLock: false, retriesWrites: true },
    );
  const storage =
    self.dataFolder === undefined ? ok(noopStoragePort) : await openStorage(self.dataFolder);
  if (storage.isErr()) return err(storage.error);
  const peers = await openPeerPort(world, hybridClock, wake, clock);
  if (peers.isErr()) {
    await storage.value.dispose();
    return err(peers.error);
  }

  const ports = [
    storage.value,
    weightOrders,
    usageReports,
    capacityOrders,
    runs,
    calls,
    addressProbes,
    proposals,
    jobReads,
    contents,
    peers.value,
    events,
  ];
  driver = createTickDriver(
    ticker,
    clock,
    () => ports.forEach((port) => port.drain()),
    (error) => log.error({ kind: error.kind }, error.message),
  );

  return ok({
    world,
    clock,
    wake,
    calls,
    jobReads,
    contents,
    proposals,
    dispose: async () => {
      driver?.dispose();
      clockJumps?.dispose();
      [calls, addressProbes, runs, weightOrders, usageReports, capacityOrders, client].forEach(
        (port) => port.dispose(),
      );
      await Promise.all([peers.value.dispose(), storage.value.dispose()]);
      await contentStore.dispose();
    },
  });
};
