/**
 * Opens the body store of a daemon in its data folder. A daemon without a data folder gets a store
 * that rejects writes and finds no bodies.
 */
import { join, resolve } from 'node:path';
import { err } from 'neverthrow';
import { wallClock } from '../../../base/node/monotonicClock.js';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import type { DaemonSettings } from '../../../infrastructure/settings/common/deployment.js';
import type { BodyStore } from '../common/bodyStore.js';
import { openFileBodyStore } from './fileBodyStore.js';

const bodyFolderName = 'bodies';

const unavailableStore: BodyStore & AsyncDisposable = {
  write: (_, onDidWrite) =>
    onDidWrite(
      err({
        kind: 'bodyNotWritten',
        message: 'This daemon has no data folder; set `dataFolder` for it in the deployment file.',
      }),
    ),
  read: (_, __, onDidRead) => onDidRead(undefined),
  deleteLot: () => {},
  dispose: () => Promise.resolve(),
};

/** Opens the store; `folder` is the folder of the deployment file. */
export const openBodyStore = (folder: string, self: DaemonSettings): BodyStore & AsyncDisposable =>
  self.dataFolder === undefined
    ? unavailableStore
    : openFileBodyStore(join(resolve(folder, self.dataFolder), bodyFolderName), wallClock);
