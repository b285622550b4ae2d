/**
 * Body store on disk: one file per lot in a subfolder of the data folder, deleted with the lot.
 * Writes to a lot are sequential, and each is synced before it is reported; bodies that arrive
 * during a write are combined into the next one.
 */
import { createHash } from 'node:crypto';
import { existsSync, mkdirSync, readdirSync, rmSync, statSync } from 'node:fs';
import { open } from 'node:fs/promises';
import { join } from 'node:path';
import { err, ok, type Result } from 'neverthrow';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import type { Milliseconds, WallClock } from '../../../base/common/time.js';
import { maximumLotMilliseconds } from '../../../service/protocol/common/trainerProtocol.js';
import type { BodyId, LotId } from '../../../service/world/common/identifiers.js';
import type { BodyStore, BodyStoreError, StoredBody } from '../common/bodyStore.js';
import { openBodyFile, type BodyFile } from './bodyFile.js';

type WriteCallback = (outcome: Result<void, BodyStoreError>) => void;

interface PendingWrite {
  readonly bodies: readonly StoredBody[];
  readonly resolve: (outcome: Result<void, BodyStoreError>) => void;
}

/** File and pending writes of one lot. */
interface LotStore {
  readonly file: Promise<BodyFile>;
  readonly pending: PendingWrite[];
  isWriting: boolean;
}

const createStoreError = (error: unknown): BodyStoreError => ({
  kind: 'bodyNotWritten',
  message: `A body could not be written to the data folder (${String(error)}); free space in the folder.`,
});

/** The file name is a digest, because lot identifiers contain names chosen by trainers. */
const fileNameOf = (lot: LotId): string =>
  `${createHash('sha256').update(lot).digest('hex').slice(0, 32)}.bodies`;

const syncFolder = async (folder: string): Promise<void> => {
  const handle = await open(folder, 'r');
  await handle.datasync();
  await handle.close();
};

const groupByLot = (bodies: readonly StoredBody[]): Map<LotId, StoredBody[]> => {
  const bodiesByLot = new Map<LotId, StoredBody[]>();
  bodies.forEach((body) => bodiesByLot.set(body.lot, [...(bodiesByLot.get(body.lot) ?? []), body]));
  return bodiesByLot;
};

/** A file not modified for this long cannot belong to a lot that is still open. */
const fileRetentionMilliseconds = 2 * maximumLotMilliseconds;

const removeExpiredFiles = (folder: string, now: number, retention: Milliseconds): void =>
  readdirSync(folder)
    .map((name) => join(folder, name))
    .filter((path) => statSync(path).mtimeMs < now - retention)
    .forEach((path) => rmSync(path, { force: true }));

/** A body store on disk. */
export interface FileBodyStore extends BodyStore, AsyncDisposable {
  /** Returns all bodies that can be read; to be called before anything is written. */
  readonly readAll: () => Promise<readonly Omit<StoredBody, 'lot'>[]>;
}

const readFileBodies = async (path: string): Promise<readonly Omit<StoredBody, 'lot'>[]> => {
  try {
    const file = await openBodyFile(path);
    const bodies = await file.readAll();
    await file.close();
    return bodies;
  } catch {
    // A file that cannot be read counts as lost.
    return [];
  }
};

/**
 * Opens the store in `folder`, which is created if it does not exist. Files that were not modified for
 * `retention` are deleted.
 */
export const openFileBodyStore = (
  folder: string,
  wallClock: WallClock,
  retention: Milliseconds = fileRetentionMilliseconds,
): FileBodyStore => {
  mkdirSync(folder, { recursive: true });
  removeExpiredFiles(folder, wallClock(), retention);
  const lotStores = new Map<LotId, LotStore>();
  const removals = new Map<LotId, Promise<void>>();
  const pathOf = (lot: LotId): string => join(folder, fileNameOf(lot));

  const openFile = async (lot: LotId): Promise<BodyFile> => {
    await removals.get(lot);
    const file = await openBodyFile(pathOf(lot));
    await syncFolder(folder);
    return file;
  };

  const getLotStore = (lot: LotId): LotStore => {
    const existing = lotStores.get(lot);
    if (existing !== undefined) return existing;
    const created: LotStore = { file: openFile(lot), pending: [], isWriting: false };
    created.file.catch(() => lotStores.delete(lot));
    lotStores.set(lot, created);
    return created;
  };

  const writePending = async (store: LotStore): Promise<void> => {
    const writes = store.pending.splice(0);
    const resolveAll = (outcome: Result<void, BodyStoreError>): void =>
      writes.forEach((write) => write.resolve(outcome));
    try {
      const file = await store.file;
      await file.append(writes.flatMap((write) => write.bodies));
      resolveAll(ok(undefined));
    } catch (error) {
      resolveAll(err(createStoreError(error)));
    }
  };

  const processWrites = async (store: LotStore): Promise<void> => {
    if (store.isWriting) return;
    // The flag is checked and set in the same event loop turn, so each lot has a single writer.
    Object.assign(store, { isWriting: true });
    // eslint-disable-next-line no-await-in-loop -- writes to a lot are sequential
    while (store.pending.length > 0) await writePending(store);
    Object.assign(store, { isWriting: false });
  };

  const writeLot = (
    lot: LotId,
    bodies: readonly StoredBody[],
  ): Promise<Result<void, BodyStoreError>> =>
    new Promise((resolve) => {
      const store = getLotStore(lot);
      store.pending.push({ bodies, resolve });
      void processWrites(store);
    });

  const writeAll = async (
    bodies: readonly StoredBody[],
    onDidWrite: WriteCallback,
  ): Promise<void> => {
    const outcomes = await Promise.all(
      [...groupByLot(bodies)].map(([lot, lotBodies]) => writeLot(lot, lotBodies)),
    );
    onDidWrite(outcomes.find((outcome) => outcome.isErr()) ?? ok(undefined));
  };

  const hasFile = (lot: LotId): boolean =>
    lotStores.has(lot) || (!removals.has(lot) && existsSync(pathOf(lot)));

  const readBody = async (lot: LotId, body: BodyId): Promise<string | undefined> => {
    if (!hasFile(lot)) return undefined;
    try {
      const file = await getLotStore(lot).file;
      return await file.read(body);
    } catch {
      return undefined;
    }
  };

  const removeFile = async (file: Promise<BodyFile>): Promise<void> => {
    try {
      const opened = await file;
      await opened.remove();
    } catch {
      // The next start deletes a file that cannot be opened or deleted now, once it has expired.
    }
  };

  const deleteLot = (lot: LotId): void => {
    if (!hasFile(lot)) return;
    const { file } = getLotStore(lot);
    lotStores.delete(lot);
    removals.set(
      lot,
      removeFile(file).finally(() => removals.delete(lot)),
    );
  };

  return {
    write: (bodies, onDidWrite) => {
      void writeAll(bodies, onDidWrite);
    },
    read: (lot, body, onDidRead) => {
      void readBody(lot, body).then(onDidRead);
    },
    readAll: async () => {
      const bodies: Omit<StoredBody, 'lot'>[] = [];
      // One file at a time, so that the memory holds the text of one beside the bodies.
      for (const name of readdirSync(folder)) {
        // eslint-disable-next-line no-await-in-loop -- see above
        bodies.push(...(await readFileBodies(join(folder, name))));
      }
      return bodies;
    },
    deleteLot,
    dispose: async () => {
      const stores = [...lotStores.values()];
      lotStores.clear();
      await Promise.all(stores.map(({ file }) => file.then((opened) => opened.close())));
    },
  };
};
