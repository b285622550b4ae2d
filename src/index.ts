/**
 * The public API for programs that embed daemons, or that run cores with their own ports.
 */
export { loadInstallation } from './service/configuration/node/loadInstallation.js';
export type { Installation } from './service/configuration/node/loadInstallation.js';
export { createCore } from './service/core/common/core.js';
export type { Core } from './service/core/common/core.js';
export type { World, WorldOptions } from './service/world/common/world.js';
export { openDaemon } from './daemon/main/node/daemon.js';
export type { Daemon, DaemonError, DaemonOptions } from './daemon/main/node/daemon.js';
