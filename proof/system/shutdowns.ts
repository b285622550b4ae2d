/**
 * Simulates the graceful shutdown of a daemon on virtual time, in the order of the real daemon: it leaves
 * the address advice, waits until advice already given has expired, refuses new requests, and stops when
 * its requests have ended or the drain deadline has passed.
 */
import { deadlineAfter, type Milliseconds } from '../../src/base/common/time.js';
import { EventKind } from '../../src/service/events/common/eventKind.js';
import { RequestState } from '../../src/service/traffic/common/trafficTables.js';
import type {
  VirtualDaemon,
  VirtualInstallation,
} from '../../standins/virtual/virtualInstallation.js';
import type { Shutdown } from './recording.js';

const pollIntervalMilliseconds: Milliseconds = 50;

const hasUnfinishedRequests = ({ core }: VirtualDaemon): boolean =>
  core.world.requests.count('state', RequestState.Waiting) +
    core.world.requests.count('state', RequestState.Running) >
  0;

/** Starts the graceful shutdown of a daemon; `stop` is called with its name at the end. */
export const startShutdown = (
  installation: VirtualInstallation,
  name: string,
  stop: (name: string) => void,
  isFrozen: (name: string) => boolean,
): Shutdown => {
  const daemon = installation.daemon(name);
  const { world } = daemon.core;
  const { adviceMilliseconds, drainMilliseconds } = world.deployment.timing;
  const startedAt = installation.now();
  const adviceDeadline = deadlineAfter(startedAt, adviceMilliseconds);
  const drainDeadline = deadlineAfter(adviceDeadline, drainMilliseconds);

  const shouldWait = (): boolean =>
    isFrozen(name) || (hasUnfinishedRequests(daemon) && installation.now() < drainDeadline);

  const stopWhenDrained = (): void => {
    if (!installation.isCurrent(daemon)) return;
    if (shouldWait()) installation.schedule(pollIntervalMilliseconds, stopWhenDrained);
    else stop(name);
  };

  const refuseNewRequests = (): void => {
    if (isFrozen(name)) {
      installation.schedule(pollIntervalMilliseconds, refuseNewRequests);
      return;
    }
    world.setRefusingNewRequests();
    stopWhenDrained();
  };

  world.setLeaving();
  world.events.append({ kind: EventKind.DaemonLeaving, subject: {} });
  installation.wake(name);
  installation.schedule(adviceMilliseconds, refuseNewRequests);
  return { daemon: name, startedAt, adviceDeadline, drainDeadline, interruptedAt: null };
};
