/**
 * Content store on disk: the files of the body store, one for each job, in a subfolder of the data
 * folder. A content is stored in base64 under the identifier of its job and its digest.
 */
import { createHash } from 'node:crypto';
import { closeSync, existsSync, fsyncSync, mkdirSync, openSync } from 'node:fs';
import { join } from 'node:path';
import { Result } from 'neverthrow';
import { asBrand } from '../../../base/common/brand.js';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import type { WallClock } from '../../../base/common/time.js';
import type { JobId } from '../../../service/jobs/common/jobTables.js';
import type { BodyId, LotId } from '../../../service/world/common/identifiers.js';
import type { StoredBody } from '../../rollout/common/bodyStore.js';
import { openFileBodyStore, type FileBodyStore } from '../../rollout/node/fileBodyStore.js';
import type { ContentStore } from '../common/contentStore.js';

const contentFolderName = 'contents';

/** Computes the SHA-256 digest of a content, in base64url. */
export const computeContentDigest = (bytes: Uint8Array): string =>
  createHash('sha256').update(bytes).digest('base64url');

/** Digests have no separator, so an identifier is divided at its last one. */
const separator = '|';

const bodyIdOf = (job: string, digest: string): BodyId => asBrand(`${job}${separator}${digest}`);

const lotOf = (job: JobId): LotId => asBrand(job);

const decodeBody = ({ body, content }: Omit<StoredBody, 'lot'>) => {
  const end = body.lastIndexOf(separator);
  return {
    job: asBrand<JobId>(body.slice(0, end)),
    digest: body.slice(end + 1),
    bytes: Buffer.from(content, 'base64'),
  };
};

/** Creates a folder that is still there after a power loss. */
const createSyncedFolder = (parent: string, folder: string): void => {
  mkdirSync(folder, { recursive: true });
  const handle = openSync(parent, 'r');
  try {
    fsyncSync(handle);
  } finally {
    closeSync(handle);
  }
};

/**
 * Creates the store in the data folder of a daemon. Its subfolder is created with the first content,
 * so a full disk does not keep a daemon from starting.
 */
export const openFileContentStore = (
  dataFolder: string,
  wallClock: WallClock,
): ContentStore & AsyncDisposable => {
  const folder = join(dataFolder, contentFolderName);
  /** Reading truncates a file after its last whole record, so nothing is written meanwhile. */
  let recovery: Promise<void> = Promise.resolve();
  let openedStore: FileBodyStore | undefined;

  const getStore = (): FileBodyStore => {
    if (!existsSync(folder)) createSyncedFolder(dataFolder, folder);
    // The service removes contents that it does not need, whatever the age of their files.
    openedStore ??= openFileBodyStore(folder, wallClock, Number.POSITIVE_INFINITY);
    return openedStore;
  };
  const openStore = Result.fromThrowable(getStore, () => undefined);

  const readBodies = async (): Promise<readonly Omit<StoredBody, 'lot'>[]> => {
    const store = existsSync(folder) ? openStore() : undefined;
    return store?.isOk() === true ? store.value.readAll() : [];
  };

  return {
    write: (job, contents, onDidWrite) => {
      const bodies = contents.map(({ digest, bytes }) => ({
        body: bodyIdOf(job, digest),
        lot: lotOf(job),
        content: Buffer.from(bytes).toString('base64'),
      }));
      void recovery.then(() =>
        openStore().match(
          (store) => store.write(bodies, (outcome) => onDidWrite(outcome.isOk())),
          () => onDidWrite(false),
        ),
      );
    },
    readAll: (onDidRead) => {
      recovery = readBodies()
        .catch(() => [])
        .then((bodies) => onDidRead(bodies.map(decodeBody)));
    },
    deleteJob: (job) => {
      void recovery.then(() => openStore().map((store) => store.deleteLot(lotOf(job))));
    },
    dispose: async () => {
      await recovery;
      await openedStore?.dispose();
    },
  };
};

/** The store of a daemon without a data folder, which is never a holder. */
export const unavailableContentStore: ContentStore & AsyncDisposable = {
  write: (_job, _contents, onDidWrite) => onDidWrite(false),
  readAll: (onDidRead) => onDidRead([]),
  deleteJob: () => {},
  dispose: () => Promise.resolve(),
};
