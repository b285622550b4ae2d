/**
 * `npm run faults`: runs all cells of the fault matrix, with one thread for each installation, prints the
 * result and writes it to docs/FAULT-MATRIX.md. The exit code is 1 if any cell is red.
 */
import { writeFileSync } from 'node:fs';
import { isMainThread, parentPort, Worker, workerData } from 'node:worker_threads';
import { InstallationName } from '../system/installations.js';
import { formatPage, formatSummary } from './page.js';
import { createCells, runCell, type CellResult } from './runMatrix.js';

const seed = 1;
const pageFile = 'docs/FAULT-MATRIX.md';

const runInThread = (installation: InstallationName): Promise<readonly CellResult[]> =>
  new Promise((resolve, reject) => {
    const worker = new Worker(new URL(import.meta.url), { workerData: installation });
    worker.once('message', resolve);
    worker.once('error', reject);
  });

const runAll = async (): Promise<void> => {
  const results = (await Promise.all(Object.values(InstallationName).map(runInThread))).flat();
  const page = formatPage(results);
  writeFileSync(pageFile, page);
  console.log(page);
  process.exitCode = results.some(({ verdict }) => verdict.kind === 'red') ? 1 : 0;
  console.log(formatSummary(results));
};

if (isMainThread) await runAll();
else {
  const cells = createCells(workerData as InstallationName);
  parentPort?.postMessage(cells.map((cell) => runCell(cell, seed)));
}
