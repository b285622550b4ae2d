/**
 * Guards against records that are lost, doubled or brought back when power is lost or a call fails
 * while the records of a folder are replaced.
 */
import test, { type ExecutionContext } from 'ava';
import { encodeRecord } from '../../node/recordCodec.js';
import type { Fault, FolderFiles } from './powerLoss.js';
import {
  append,
  compact,
  createChecker,
  createRun,
  execute,
  openFolder,
  replace,
  textOf,
  checkRemains,
  type Operation,
  type Run,
} from './powerLossRuns.js';

/** Three segments, as an earlier release leaves them. */
const textAtFirst = 'abc';
const olderFolder: FolderFiles = new Map([
  ['log-00000001.segment', encodeRecord({ add: 'a' })],
  ['log-00000002.segment', encodeRecord({ add: 'b' })],
  ['log-00000003.segment', encodeRecord({ add: 'c' })],
]);

const operations: readonly Operation[] = [
  append('d'),
  replace('abcd', true),
  append('e'),
  compact('abcde'),
  append('h'),
  append('i'),
  replace('xyz', false),
  replace('xyz', true),
  append('f'),
  append('g'),
];

/** The text after each number of operations. */
const texts = operations.reduce<readonly string[]>(
  (before, { kind, records }) => [
    ...before,
    textOf(kind === 'append' ? [{ set: before.at(-1)! }, ...records] : records),
  ],
  [textAtFirst],
);

/** Hooks of a run through all operations. */
interface ExecutionHooks {
  readonly onDidOpen?: () => void;
  readonly onDidReturn?: () => void;
}

/** Executes all operations; those that are not optional are repeated until they succeed. */
const executeAll = async (
  t: ExecutionContext,
  run: Run,
  { onDidOpen, onDidReturn }: ExecutionHooks = {},
): Promise<void> => {
  const store = (await openFolder(run.disk.folder, run.disk.files))._unsafeUnwrap();
  onDidOpen?.();
  for (const [position, operation] of operations.entries()) {
    run.allow(texts.slice(position, position + 2));
    let result = await execute(store, operation);
    onDidReturn?.();
    for (let attempt = 0; result.isErr() && !operation.isOptional && attempt < 3; attempt += 1)
      result = await execute(store, operation);
    t.true(result.isOk() || operation.isOptional);
    run.allow([texts[position + 1]!]);
  }
  await store.dispose();
  const reopened = (await openFolder(run.disk.folder))._unsafeUnwrap();
  await reopened.dispose();
  t.is(textOf(reopened.values), texts.at(-1)!);
};

const runWithoutFaults = async (t: ExecutionContext): Promise<Run> => {
  const run = createRun(t, olderFolder, [textAtFirst]);
  await executeAll(t, run);
  return run;
};

test.serial(
  'a loss of power at any step of appends and replacements loses nothing that was synced',
  async (t) => {
    const run = await runWithoutFaults(t);
    const checker = createChecker();
    await checker.check(run.remains());
    t.log(`${run.stepCount()} steps, ${checker.count()} remains`);
    t.true(checker.count() > run.stepCount());
  },
);

test.serial(
  'a second loss of power, while a folder is opened after the first, loses nothing',
  async (t) => {
    const run = await runWithoutFaults(t);
    const checker = createChecker();
    for (const { step, files, texts: allowed } of run.remains()) {
      const text = await checkRemains({ step, files, texts: allowed });
      const opening = createRun(t, files, [text]);
      const opened = await openFolder(opening.disk.folder, opening.disk.files);
      await opened._unsafeUnwrap().dispose();
      await checker.check(opening.remains());
    }
    t.log(`${checker.count()} remains`);
    t.true(checker.count() > run.stepCount());
  },
);

test.serial(
  'a loss of power after a process was killed at any step loses nothing that the next one had read',
  async (t) => {
    const stepCount = (await runWithoutFaults(t)).stepCount();
    const checker = createChecker();
    for (let killed = 0; killed < stepCount; killed += 1) {
      const run = createRun(t, olderFolder, [textAtFirst]);
      run.setFaults((step) => (step >= killed ? { isApplied: false, code: 'EIO' } : undefined));
      const store = await openFolder(run.disk.folder, run.disk.files);
      let done = 0;
      while (store.isOk() && done < operations.length && run.stepCount() <= killed) {
        run.allow(texts.slice(done, done + 2));
        if ((await execute(store.value, operations[done]!)).isOk()) done += 1;
      }
      if (store.isOk()) await store.value.dispose();
      run.allow(texts.slice(done, done + 2));
      run.setFaults(() => undefined);
      const next = (await openFolder(run.disk.folder, run.disk.files))._unsafeUnwrap();
      const text = textOf(next.values);
      t.true(texts.slice(done, done + 2).includes(text), `killed at step ${killed}`);
      run.allow([text, `${text}+`]);
      (await execute(next, append('+')))._unsafeUnwrap();
      run.allow([`${text}+`]);
      await next.dispose();
      await checker.check(run.remains());
    }
    t.log(`${stepCount} steps, ${checker.count()} remains`);
  },
);

interface FaultCase {
  readonly name: string;
  readonly fault: Fault;
  /** Whether all calls fail until the operation of the store returns, not only one. */
  readonly lasts: boolean;
}

const faultCases: readonly FaultCase[] = [
  { name: 'one refused call', fault: { isApplied: false, code: 'ENOSPC' }, lasts: false },
  { name: 'refused calls', fault: { isApplied: false, code: 'ENOSPC' }, lasts: true },
  {
    name: 'one call that is reported as failed but took effect',
    fault: { isApplied: true, code: 'EIO' },
    lasts: false,
  },
  {
    name: 'calls that are reported as failed but took effect',
    fault: { isApplied: true, code: 'EIO' },
    lasts: true,
  },
];

faultCases.forEach(({ name, fault, lasts }) =>
  test.serial(
    `a loss of power after ${name} at any step loses nothing that was synced`,
    async (t) => {
      const stepCount = (await runWithoutFaults(t)).stepCount();
      const checker = createChecker();
      let faultCount = 0;
      for (let failing = 0; failing < stepCount; failing += 1) {
        const run = createRun(t, olderFolder, [textAtFirst]);
        let hasFailed = false;
        await executeAll(t, run, {
          onDidOpen: () => {
            const first = run.stepCount() + failing;
            run.setFaults((step) => {
              const isFailing = step === first || (lasts && step > first);
              hasFailed ||= isFailing;
              return isFailing ? fault : undefined;
            });
          },
          onDidReturn: () => {
            if (hasFailed) run.setFaults(() => undefined);
          },
        });
        if (hasFailed) faultCount += 1;
        await checker.check(run.remains());
      }
      t.log(`${faultCount} faults, ${checker.count()} remains`);
      t.true(faultCount > stepCount / 2);
    },
  ),
);

test.serial(
  'a replacement that fails after an append was cut loses nothing that was synced',
  async (t) => {
    const checker = createChecker();
    const replacementSteps = 12;
    for (let failing = 1; failing <= replacementSteps; failing += 1) {
      const run = createRun(t, olderFolder, [textAtFirst]);
      const store = (await openFolder(run.disk.folder, run.disk.files))._unsafeUnwrap();
      const cutStep = run.stepCount();
      run.setFaults((step) =>
        step === cutStep || step === cutStep + failing
          ? { isApplied: false, code: 'EIO' }
          : undefined,
      );
      t.true((await execute(store, append('d'))).isErr());
      await execute(store, replace(textAtFirst, true));
      run.setFaults(() => undefined);
      run.allow([textAtFirst, `${textAtFirst}e`]);
      (await execute(store, append('e')))._unsafeUnwrap();
      run.allow([`${textAtFirst}e`]);
      await store.dispose();
      await checker.check(run.remains());
    }
    t.log(`${checker.count()} remains`);
  },
);
