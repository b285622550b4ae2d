/**
 * The graceful shutdown of a daemon on virtual time, in the order of the real one: it leaves the advice,
 * waits until given advice has run out, finishes what runs or its deadline, and ends.
 */
import { deadlineAfter, type Milliseconds } from '../../src/base/common/time.js';
import { EventKind } from '../../src/service/events/common/eventKind.js';
import { RequestState } from '../../src/service/traffic/common/trafficTables.js';
import type {
  VirtualDaemon,
  VirtualInstallation,
} from '../../standins/virtual/virtualInstallation.js';
import type { Shutdown } from './recording.js';

const pollMilliseconds: Milliseconds = 50;

const hasUnfinished = ({ core }: VirtualDaemon): boolean =>
  core.world.requests.count('state', RequestState.Waiting) +
    core.world.requests.count('state', RequestState.Running) >
  0;

/** Begins to shut a daemon down; `stop` is called when it ends. */
export const beginShutdown = (
  installation: VirtualInstallation,
  name: string,
  stop: (name: string) => void,
  isFrozen: (name: string) => boolean,
): Shutdown => {
  const daemon = installation.daemon(name);
  const { world } = daemon.core;
  const { adviceMilliseconds, drainMilliseconds } = world.deployment.timing;
  const beganAt = installation.now();
  const adviceDeadline = deadlineAfter(beganAt, adviceMilliseconds);
  const drainDeadline = deadlineAfter(adviceDeadline, drainMilliseconds);

  const mustWait = (): boolean =>
    isFrozen(name) || (hasUnfinished(daemon) && installation.now() < drainDeadline);

  const finish = (): void => {
    if (!installation.isCurrent(daemon)) return;
    if (mustWait()) installation.schedule(pollMilliseconds, finish);
    else stop(name);
  };

  const refuseNew = (): void => {
    if (isFrozen(name)) {
      installation.schedule(pollMilliseconds, refuseNew);
      return;
    }
    world.setRefusingNewRequests();
    finish();
  };

  world.setLeaving();
  world.events.append({ kind: EventKind.DaemonLeaving, subject: {} });
  installation.wake(name);
  installation.schedule(adviceMilliseconds, refuseNew);
  return { daemon: name, beganAt, adviceDeadline, drainDeadline, interruptedAt: null };
};
