/**
 * One process of a daemon on virtual time, and what its fake ports can use.
 */
import type { Instant, Milliseconds } from '../../src/base/common/time.js';
import type { Core } from '../../src/service/core/common/core.js';

/** A fake port of one daemon; `drain` runs after each tick of the daemon. */
export interface VirtualPort {
  readonly drain: () => void;
}

/** One process of a daemon, from its start until it is stopped. */
export interface VirtualDaemon {
  readonly name: string;
  readonly core: Core;
  readonly incarnation: number;
  /** Time of the installation at which the clock of this process would have read 0. */
  clockOrigin: Instant;
}

/** The services that a fake port can use. */
export interface VirtualContext {
  readonly daemon: VirtualDaemon;
  readonly now: () => Instant;
  /**
   * Runs an action after a delay and then ticks the daemon; skipped if this process has been
   * stopped.
   */
  readonly schedule: (delay: Milliseconds, action: () => void) => void;
  /** Runs an action after a delay, even if the daemon is stopped or frozen. */
  readonly scheduleAlways: (delay: Milliseconds, action: () => void) => void;
}
