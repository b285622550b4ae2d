/**
 * Files of a folder on a disk that can lose power at any step. Operations act on a real folder; beside
 * it, a model keeps what is durable. After each operation it computes which contents the folder can
 * have once power is back: any subset of the names that were changed since the folder was synced, and
 * of each file that was not synced nothing, a part, all, or zeros.
 */
import { createHash } from 'node:crypto';
import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { open, rename, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { basename, join } from 'node:path';
import type { SegmentFiles } from '../../node/segmentFiles.js';

/** Contents of a folder by file name. */
export type FolderFiles = ReadonlyMap<string, Buffer>;

/** Creates a folder with these files. */
export const createFolderWith = (files: FolderFiles): string => {
  const folder = mkdtempSync(join(tmpdir(), 'shallotquay-power-'));
  files.forEach((bytes, name) => writeFileSync(join(folder, name), bytes));
  return folder;
};

/** Reads the files of a folder. */
export const readFiles = (folder: string): FolderFiles =>
  new Map(readdirSync(folder).map((name) => [name, readFileSync(join(folder, name))]));

/** Identifies the contents of a folder. */
export const hashOf = (files: FolderFiles): string => {
  const hash = createHash('sha256');
  [...files.entries()]
    .sort(([first], [second]) => (first < second ? -1 : 1))
    .forEach(([name, bytes]) => hash.update(`${name}:${bytes.length}:`).update(bytes));
  return hash.digest('hex');
};

interface ModelFile {
  durable: Buffer;
  current: Buffer;
}

/** A change of the names of a folder: the file that a name refers to afterwards, if any. */
type NameChange = ReadonlyMap<string, ModelFile | undefined>;

/** What is left of a file that was not synced. */
type Survival = (file: ModelFile) => Buffer;

const commonLength = ({ durable, current }: ModelFile): number => {
  const length = Math.min(durable.length, current.length);
  const end = durable.subarray(0, length).findIndex((byte, position) => byte !== current[position]);
  return end < 0 ? length : end;
};

const survivals: readonly Survival[] = [
  ({ durable }) => durable,
  ({ current }) => current,
  (file) => {
    const start = commonLength(file);
    return file.current.subarray(0, start + Math.floor((file.current.length - start) / 2));
  },
  (file) => {
    const zeros = Buffer.from(file.current);
    return zeros.fill(0, commonLength(file));
  },
];

const subsetsOf = <Item>(items: readonly Item[]): readonly (readonly Item[])[] =>
  items.reduce<readonly (readonly Item[])[]>(
    (subsets, item) => [...subsets, ...subsets.map((subset) => [...subset, item])],
    [[]],
  );

/** Whether an operation takes effect, and whether it is reported as an error. */
export interface Fault {
  readonly isApplied: boolean;
  readonly code: string;
}

/** A disk, with the folder that is on it. */
export interface PowerLossDisk {
  readonly folder: string;
  readonly files: SegmentFiles;
  /** The contents that the folder can have after a loss of power at this moment. */
  readonly remains: () => readonly FolderFiles[];
}

/** Hooks of a disk. */
export interface PowerLossHooks {
  /** Called before each operation; the fault that it meets. */
  readonly faultOf: () => Fault | undefined;
  /** Called after each operation. */
  readonly onDidOperate: () => void;
}

/** Creates a disk on which the files are durable. */
export const createPowerLossDisk = (
  initial: FolderFiles,
  { faultOf, onDidOperate }: PowerLossHooks,
): PowerLossDisk => {
  const folder = createFolderWith(initial);
  let durableNames = new Map<string, ModelFile>(
    [...initial].map(([name, bytes]) => [name, { durable: bytes, current: bytes }]),
  );
  let pendingChanges: NameChange[] = [];

  const applyChanges = (changes: readonly NameChange[]): Map<string, ModelFile> => {
    const names = new Map(durableNames);
    changes.forEach((change) =>
      change.forEach((file, name) => {
        if (file === undefined) names.delete(name);
        else names.set(name, file);
      }),
    );
    return names;
  };

  const currentNames = (): Map<string, ModelFile> => applyChanges(pendingChanges);

  const operate = async (
    apply: () => Promise<void> | void,
    applyRefused: () => Promise<void> | void = () => {},
  ): Promise<void> => {
    const fault = faultOf();
    await (fault?.isApplied === false ? applyRefused() : apply());
    onDidOperate();
    if (fault !== undefined) throw Object.assign(new Error(fault.code), { code: fault.code });
  };

  const openFile: SegmentFiles['openFile'] = async (path, flags) => {
    const name = basename(path);
    await operate(async () => {
      await (await open(path, flags)).close();
      if (!currentNames().has(name)) {
        const created = { durable: Buffer.alloc(0), current: Buffer.alloc(0) };
        pendingChanges.push(new Map([[name, created]]));
      }
    });
    const handle = await open(path, flags);
    const file = currentNames().get(name)!;
    const { truncate, appendFile } = handle;
    const append = async (bytes: Buffer): Promise<void> => {
      await appendFile.call(handle, bytes);
      file.current = Buffer.concat([file.current, bytes]);
    };
    const sync = () =>
      operate(() => {
        file.durable = file.current;
      });
    return Object.assign(handle, {
      truncate: (length: number) =>
        operate(async () => {
          await truncate.call(handle, length);
          file.current = Buffer.from(file.current.subarray(0, length));
        }),
      appendFile: (bytes: Buffer) =>
        operate(
          () => append(bytes),
          () => append(bytes.subarray(0, bytes.length / 2)),
        ),
      sync,
      datasync: sync,
    });
  };

  const files: SegmentFiles = {
    openFile,
    renameFile: (from, to) =>
      operate(async () => {
        await rename(from, to);
        const file = currentNames().get(basename(from));
        pendingChanges.push(
          new Map([
            [basename(from), undefined],
            [basename(to), file],
          ]),
        );
      }),
    removeFile: (path) =>
      operate(async () => {
        await rm(path, { force: true });
        if (currentNames().has(basename(path)))
          pendingChanges.push(new Map([[basename(path), undefined]]));
      }),
    syncFolder: () =>
      operate(() => {
        durableNames = currentNames();
        pendingChanges = [];
      }),
  };

  const remains = (): readonly FolderFiles[] =>
    subsetsOf(pendingChanges).flatMap((changes) =>
      survivals.map(
        (survive) =>
          new Map([...applyChanges(changes)].map(([name, file]) => [name, survive(file)])),
      ),
    );

  return { folder, files, remains };
};
