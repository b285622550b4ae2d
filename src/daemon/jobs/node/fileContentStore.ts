/**
 * Content store on disk: the files of the body store, one for each job, in a subfolder of the data
 * folder. A content is stored in base64 under the identifier of its job and its digest.
 */
import { createHash } from 'node:crypto';
import { join } from 'node:path';
import { asBrand } from '../../../base/common/brand.js';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import type { WallClock } from '../../../base/common/time.js';
import type { JobId } from '../../../service/jobs/common/jobTables.js';
import type { BodyId, LotId } from '../../../service/world/common/identifiers.js';
import type { StoredBody } from '../../rollout/common/bodyStore.js';
import { openFileBodyStore } from '../../rollout/node/fileBodyStore.js';
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

/** Opens the store in the data folder of a daemon. */
export const openFileContentStore = (
  dataFolder: string,
  wallClock: WallClock,
): ContentStore & AsyncDisposable => {
  // The service removes contents that it does not need, whatever the age of their files.
  const store = openFileBodyStore(
    join(dataFolder, contentFolderName),
    wallClock,
    Number.POSITIVE_INFINITY,
  );
  /** Reading truncates a file after its last whole record, so nothing is written meanwhile. */
  let recovery: Promise<void> = Promise.resolve();
  return {
    write: (job, contents, onDidWrite) => {
      const bodies = contents.map(({ digest, bytes }) => ({
        body: bodyIdOf(job, digest),
        lot: lotOf(job),
        content: Buffer.from(bytes).toString('base64'),
      }));
      const write = () => store.write(bodies, (outcome) => onDidWrite(outcome.isOk()));
      void recovery.then(write);
    },
    readAll: (onDidRead) => {
      recovery = store.readAll().then((bodies) => onDidRead(bodies.map(decodeBody)));
    },
    deleteJob: (job) => {
      void recovery.then(() => store.deleteLot(lotOf(job)));
    },
    dispose: store.dispose,
  };
};

/** The store of a daemon without a data folder, which is never a holder. */
export const unavailableContentStore: ContentStore & AsyncDisposable = {
  write: (_job, _contents, onDidWrite) => onDidWrite(false),
  readAll: (onDidRead) => onDidRead([]),
  deleteJob: () => {},
  dispose: () => Promise.resolve(),
};
