/**
 * Runs of a folder over a disk that can lose power at any step, and the check of what is left. A record
 * is a step of a text: `set` starts it anew, `add` extends it. Whatever is left must result in the text
 * after the last operation that was acknowledged, or after the one that was running.
 */
import { rmSync } from 'node:fs';
import type { ExecutionContext } from 'ava';
import { encodeRecord } from '../../node/recordCodec.js';
import { nodeFiles, type SegmentFiles } from '../../node/segmentFiles.js';
import { openSegmentStore, type SegmentStore } from '../../node/segmentStore.js';
import {
  createFolderWith,
  createPowerLossDisk,
  hashOf,
  readFiles,
  type Fault,
  type FolderFiles,
  type PowerLossDisk,
} from './powerLoss.js';

export type TextRecord = { readonly set: string } | { readonly add: string };

export const textOf = (values: readonly unknown[]): string =>
  (values as readonly TextRecord[]).reduce(
    (text, record) => ('set' in record ? record.set : text + record.add),
    '',
  );

export interface Operation {
  readonly kind: 'append' | 'replace' | 'compact';
  readonly records: readonly TextRecord[];
  /** Whether the next operation may follow although this one has failed. */
  readonly isOptional: boolean;
}

export const append = (text: string): Operation => ({
  kind: 'append',
  records: [{ add: text }],
  isOptional: false,
});

/** Replaces the records by others that result in a text. */
export const replace = (text: string, isOptional: boolean): Operation => ({
  kind: 'replace',
  records: [{ set: '' }, ...[...text].map((character) => ({ add: character }))],
  isOptional,
});

/** Starts to replace the records by others that result in the same text. */
export const compact = (text: string): Operation => ({
  ...replace(text, true),
  kind: 'compact',
});

const executeByKind: Readonly<
  Record<
    Operation['kind'],
    (store: SegmentStore, records: readonly Buffer[]) => ReturnType<SegmentStore['append']>
  >
> = {
  append: (store, records) => store.append(records),
  replace: (store, records) => store.replace(records),
  // The operations that follow run while the compaction does.
  compact: (store, records) => store.compact(records, () => {}),
};

export const execute = (store: SegmentStore, { kind, records }: Operation) =>
  executeByKind[kind](store, records.map(encodeRecord));

/** Syncs are not needed for contents that are read by the same process. */
const unsyncedFiles: Partial<SegmentFiles> = {
  syncFolder: () => Promise.resolve(),
  openFile: async (path, flags) =>
    Object.assign(await nodeFiles.openFile(path, flags), {
      sync: () => Promise.resolve(),
      datasync: () => Promise.resolve(),
    }),
};

export const openFolder = (folder: string, files: Partial<SegmentFiles> = unsyncedFiles) =>
  openSegmentStore(folder, { shouldLock: false, ...files });

/** Files of which nothing may be left once a folder was opened. */
const findObsoleteNames = (names: readonly string[]): readonly string[] => {
  const bases = names.filter((name) => name.endsWith('.base')).sort();
  const oldest = bases.at(-1)?.replace('.base', '.segment') ?? '';
  return [
    ...bases.slice(0, -1),
    ...names.filter((name) => name.endsWith('.segment') && name < oldest),
    ...names.filter((name) => name.endsWith('.unfinished')),
  ];
};

/** Contents that a folder may have, and the texts that they may result in. */
export interface Remains {
  readonly step: number;
  readonly files: FolderFiles;
  readonly texts: readonly string[];
}

/** Opens a folder from its remains, appends to it, and opens it again; returns the first text. */
export const checkRemains = async ({ step, files, texts: allowed }: Remains): Promise<string> => {
  const folder = createFolderWith(files);
  const label = `step ${step}: ${[...files].map(([name, { length }]) => `${name} ${length}`).join(', ')}`;
  const opened = await openFolder(folder);
  if (opened.isErr()) throw new Error(`${label}: ${opened.error.message}`);
  const text = textOf(opened.value.values);
  if (!allowed.includes(text)) throw new Error(`${label}: ${text} is not ${allowed.join(' or ')}`);
  const obsolete = findObsoleteNames([...readFiles(folder).keys()]);
  if (obsolete.length > 0) throw new Error(`${label}: ${obsolete.join(', ')} left`);
  (await execute(opened.value, append('!')))._unsafeUnwrap();
  await opened.value.dispose();
  const reopened = (await openFolder(folder))._unsafeUnwrap();
  await reopened.dispose();
  if (textOf(reopened.values) !== `${text}!`) throw new Error(`${label}: the append is lost`);
  rmSync(folder, { recursive: true });
  return text;
};

/** A run over a disk, whose remains are collected after each step. */
export interface Run {
  readonly disk: PowerLossDisk;
  readonly stepCount: () => number;
  readonly remains: () => readonly Remains[];
  /** Sets the texts that the remains of the next steps may result in. */
  readonly allow: (allowed: readonly string[]) => void;
  /** Sets the fault that each step meets. */
  readonly setFaults: (faultAt: (step: number) => Fault | undefined) => void;
}

/** Creates a run; its folder is removed at the end of the test. */
export const createRun = (
  t: ExecutionContext,
  initial: FolderFiles,
  allowedAtFirst: readonly string[],
): Run => {
  let step = 0;
  let allowed = allowedAtFirst;
  let findFault: (step: number) => Fault | undefined = () => undefined;
  const found = new Map<string, Remains>();
  const disk: PowerLossDisk = createPowerLossDisk(initial, {
    faultOf: () => findFault(step),
    onDidOperate: () => {
      disk.remains().forEach((files) => {
        const key = `${hashOf(files)} ${allowed.join(' ')}`;
        if (!found.has(key)) found.set(key, { step, files, texts: allowed });
      });
      step += 1;
    },
  });
  t.teardown(() => rmSync(disk.folder, { recursive: true }));
  return {
    disk,
    stepCount: () => step,
    remains: () => [...found.values()],
    allow: (next) => {
      allowed = next;
    },
    setFaults: (faultAt) => {
      findFault = faultAt;
    },
  };
};

/** Remains that a test of this process has checked without a failure. */
const checkedKeys = new Set<string>();

/** Checks remains that were not checked before, and counts the different ones. */
export const createChecker = () => {
  const keys = new Set<string>();
  return {
    check: async (remains: readonly Remains[]): Promise<void> => {
      for (const one of remains) {
        const key = `${hashOf(one.files)} ${one.texts.join(' ')}`;
        if (!checkedKeys.has(key)) await checkRemains(one);
        checkedKeys.add(key);
        keys.add(key);
      }
    },
    count: () => keys.size,
  };
};
