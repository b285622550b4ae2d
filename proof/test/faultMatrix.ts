/**
 * Declares one test for a share of the cells of an installation. Tests run one after the other, so that
 * the runner hears of each as it ends and not of all after the last. `npm run faults` runs all of them.
 */
import test from 'ava';
import { faults } from '../matrix/faults.js';
import { flows } from '../matrix/flows.js';
import { createCells, runCell, type Cell } from '../matrix/runMatrix.js';
import { isBuilt } from '../system/capabilities.js';
import type { InstallationName } from '../system/installations.js';

const seed = 1;
/** One cell in so many is run; coprime to the number of steps, so that all steps occur. */
const sampleInterval = 9;

const isRunnable = ({ fault, flow }: Cell): boolean =>
  faults[fault].inapplicable[flow] === undefined &&
  isBuilt[faults[fault].needs] &&
  isBuilt[flows[flow].needs];

/** Declares the tests of the share that begins at `offset`. */
export const declareCellTests = (installation: InstallationName, offset: number): void =>
  createCells(installation)
    .filter(isRunnable)
    .filter((_, index) => index % sampleInterval === offset)
    .forEach((cell) =>
      test.serial(
        `${cell.fault} at ${cell.flow}, step ${flows[cell.flow].steps[cell.step]}`,
        (t) => {
          const { verdict } = runCell(cell, seed);
          t.deepEqual(verdict, { kind: 'passed' });
        },
      ),
    );
