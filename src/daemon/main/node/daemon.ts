/**
 * Opens a daemon: the core with its ports, listening on the configured addresses. A graceful close
 * withdraws the daemon from address advice, refuses new connections and waits for running responses
 * until the drain timeout.
 */
import { resolve } from 'node:path';
import { err, ok, type Result } from 'neverthrow';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import { createEmitter, type Event } from '../../../base/common/emitter.js';
import { createDaemonRandom } from '../../../base/common/random.js';
import { delay, waitWithTimeout } from '../../../base/node/delay.js';
import { monotonicClock, wallClock } from '../../../base/node/monotonicClock.js';
import type { Log } from '../../../infrastructure/log/node/log.js';
import { noopMetrics } from '../../../infrastructure/metrics/common/metrics.js';
import { createStatsdMetrics } from '../../../infrastructure/metrics/node/statsdMetrics.js';
import type {
  DaemonSettings,
  Deployment,
} from '../../../infrastructure/settings/common/deployment.js';
import type { ListenError } from '../../../infrastructure/sockets/node/listen.js';
import type { StorageError } from '../../../infrastructure/storage/common/storageError.js';
import {
  createTickDriver,
  type TickDriver,
} from '../../../infrastructure/tables/node/tickDriver.js';
import { createHybridLogicalClock } from '../../../infrastructure/timeline/common/hybridLogicalClock.js';
import { createTimelineWriter } from '../../../infrastructure/timeline/node/timelineFile.js';
import type { Tree } from '../../../service/configuration/common/tree.js';
import { createCore } from '../../../service/core/common/core.js';
import { EventKind } from '../../../service/events/common/eventKind.js';
import type { World } from '../../../service/world/common/world.js';
import { noopStoragePort, openStoragePort } from '../../consensus/node/storagePort.js';
import { createExchangeRegistry } from '../../exchange/node/exchange.js';
import { createExchangePort } from '../../exchange/node/exchangePort.js';
import { createCallerRoutes } from '../../front/node/callerRoutes.js';
import { createSharedByListeners, openHttpServer } from '../../front/node/httpServer.js';
import { createSubmitter } from '../../front/node/submission.js';
import { createTrainerRelay } from '../../front/node/trainerRelay.js';
import { createTrainerRoutes } from '../../front/node/trainerRoutes.js';
import { createUpstreamRoutes } from '../../front/node/upstreamRoutes.js';
import { createEditPort } from '../../operator/node/editPort.js';
import { createOperatorRoutes } from '../../operator/node/operatorRoutes.js';
import { createOrderPort } from '../../orders/node/orderPort.js';
import { openPeerPort } from '../../peers/node/peerPort.js';
import { openBodyStore } from '../../rollout/node/openBodyStore.js';
import { createRolloutPorts } from '../../rollout/node/rolloutPorts.js';
import { createAddressProbePort } from '../../quarantine/node/addressProbePort.js';
import { createUpstreamPort } from '../../upstream/node/upstreamPort.js';
import { createEventPort } from './eventPort.js';

/** Dependencies and settings of a daemon. */
export interface DaemonOptions {
  readonly deployment: Deployment;
  readonly tree: Tree;
  /** Base folder for relative paths in the settings. */
  readonly folder: string;
  readonly name: string;
  readonly log: Log;
}

/** A running daemon. */
export interface Daemon extends AsyncDisposable {
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly world: World;
  /** Requests a tick; call it after appending rows. */
  readonly wake: () => void;
  readonly onDidTick: Event<void>;
  /** Total bytes sent to other daemons. */
  readonly sentBytes: () => number;
  /** Withdraws from address advice, drains running responses until the timeout, and closes. */
  readonly closeGracefully: () => Promise<void>;
}

export type DaemonError =
  ListenError | StorageError | { readonly kind: 'unknownDaemon'; readonly message: string };

const findDaemonSettings = (options: DaemonOptions): Result<DaemonSettings, DaemonError> => {
  const daemonSettings = options.deployment.daemons.find((daemon) => daemon.name === options.name);
  if (daemonSettings !== undefined) return ok(daemonSettings);
  const names = options.deployment.daemons.map((daemon) => daemon.name).join(', ');
  const message = `The settings do not define a daemon named ${options.name}; use one of ${names}.`;
  return err({ kind: 'unknownDaemon', message });
};

const openMetrics = ({ deployment, name }: DaemonOptions) =>
  deployment.metricsAddress === undefined
    ? { ...noopMetrics, dispose: () => Promise.resolve() }
    : createStatsdMetrics(deployment.metricsAddress, name);

const openEventWriter = ({ deployment, folder, name }: DaemonOptions) =>
  deployment.eventFolder === undefined
    ? { write: () => {}, dispose: () => Promise.resolve() }
    : createTimelineWriter(resolve(folder, deployment.eventFolder), name);

const openWithSettings = async (
  options: DaemonOptions,
  self: DaemonSettings,
): Promise<Result<Daemon, DaemonError>> => {
  const { deployment, tree, log } = options;
  const incarnation = wallClock();
  const metrics = openMetrics(options);
  const eventWriter = openEventWriter(options);
  const hybridClock = createHybridLogicalClock(wallClock);
  const random = createDaemonRandom(self.name, incarnation);
  const { world, ticker } = createCore(
    { deployment, self, tree, incarnation, random, metrics },
    monotonicClock(),
  );
  world.events.append({ kind: EventKind.DaemonStarted, subject: { incarnation } });

  let driver: TickDriver | undefined;
  const wake = (): void => driver?.wake();
  const tickEmitter = createEmitter<void>();
  const registry = createExchangeRegistry();
  const bodyStore = openBodyStore(options.folder, self);
  const rolloutPorts = createRolloutPorts(world, bodyStore, monotonicClock, wake);
  const findExchange = (request: Parameters<typeof registry.get>[0]) =>
    registry.get(request) ?? rolloutPorts.samples.find(request);
  const upstreamPort = createUpstreamPort(world, findExchange, wake);
  const addressProbePort = createAddressProbePort(world, wake);
  const exchangePort = createExchangePort(world, registry);
  const orderPort = createOrderPort(world, monotonicClock, wake);
  const trainerRelay = createTrainerRelay(world);
  const eventPort = createEventPort(world, hybridClock, eventWriter.write);
  const editPort = createEditPort(world, monotonicClock, wake);
  const submitter = createSubmitter(world, registry, monotonicClock, wake);

  const openStorage = () =>
    openStoragePort(world, resolve(options.folder, self.dataFolder!), wake, (error) =>
      log.error({ kind: error.kind }, error.message),
    );
  const storagePort = self.dataFolder === undefined ? ok(noopStoragePort) : await openStorage();
  if (storagePort.isErr()) return err(storagePort.error);
  const peerPort = await openPeerPort(world, hybridClock, wake);
  if (peerPort.isErr()) {
    await storagePort.value.dispose();
    return err(peerPort.error);
  }
  const httpServer = await openHttpServer(
    self.callerAddress,
    deployment.limits,
    [
      createUpstreamRoutes(world, wake),
      createOperatorRoutes(world, editPort, monotonicClock),
      createTrainerRoutes(world, { ...rolloutPorts, relay: trainerRelay }, monotonicClock),
      createCallerRoutes(world, submitter),
    ],
    (error) => log.error({ message: error.message }, 'An HTTP route threw an unexpected error.'),
    createSharedByListeners(deployment.limits, metrics),
  );
  if (httpServer.isErr()) {
    await Promise.all([peerPort.value.dispose(), storagePort.value.dispose()]);
    return err(httpServer.error);
  }

  const ports = [
    storagePort.value,
    orderPort,
    upstreamPort,
    addressProbePort,
    exchangePort,
    editPort,
    rolloutPorts,
    peerPort.value,
    eventPort,
  ];
  driver = createTickDriver(
    ticker,
    monotonicClock,
    () => {
      ports.forEach((port) => port.drain());
      tickEmitter.fire();
    },
    (error) => log.error({ kind: error.kind }, error.message),
  );
  log.info(
    { callers: httpServer.value.address, peers: peerPort.value.address },
    'The daemon is listening.',
  );

  const disposeAll = async (): Promise<void> => {
    driver?.dispose();
    addressProbePort.dispose();
    await Promise.all([
      httpServer.value.dispose(),
      peerPort.value.dispose(),
      upstreamPort.dispose(),
    ]);
    await Promise.all([storagePort.value.dispose(), orderPort.dispose()]);
    await Promise.all([bodyStore.dispose(), trainerRelay.dispose()]);
    await Promise.all([eventWriter.dispose(), metrics.dispose()]);
    log.info('closed');
  };

  // A second signal can arrive while the first one is still being handled.
  let disposal: Promise<void> | undefined;
  const dispose = (): Promise<void> => {
    disposal ??= disposeAll();
    return disposal;
  };

  const closeGracefully = async (): Promise<void> => {
    world.setLeaving();
    world.events.append({ kind: EventKind.DaemonLeaving, subject: {} });
    wake();
    log.info('leaving');
    await delay(deployment.timing.adviceMilliseconds);
    world.setRefusingNewRequests();
    await waitWithTimeout(httpServer.value.closeGracefully(), deployment.timing.drainMilliseconds);
    await dispose();
  };

  return ok({
    callerAddress: httpServer.value.address,
    peerAddress: peerPort.value.address,
    world,
    wake,
    onDidTick: tickEmitter.event,
    sentBytes: peerPort.value.sentBytes,
    closeGracefully,
    dispose,
  });
};

/** Opens the daemon `options.name`; the error names the invalid address or name. */
export const openDaemon = async (options: DaemonOptions): Promise<Result<Daemon, DaemonError>> => {
  const daemonSettings = findDaemonSettings(options);
  return daemonSettings.isErr()
    ? err(daemonSettings.error)
    : openWithSettings(options, daemonSettings.value);
};
