/**
 * Declares one test for each cell of a sample of the fault matrix; `npm run faults` runs all cells. The
 * tests are serial, so that the runner reports each one when it ends and not all after the last.
 */
import test from 'ava';
import { faults } from '../matrix/faults.js';
import { flows } from '../matrix/flows.js';
import { createCells, runCell, type Cell } from '../matrix/runMatrix.js';
import { isBuilt } from '../system/capabilities.js';
import type { InstallationName } from '../system/installations.js';

const seed = 1;
/** One of this many cells is run; coprime to the number of steps, so that all steps occur. */
const sampleInterval = 9;

const isRunnable = ({ fault, flow }: Cell): boolean =>
  faults[fault].inapplicable[flow] === undefined &&
  isBuilt[faults[fault].needs] &&
  isBuilt[flows[flow].needs];

/** Declares the tests of the sample that starts at the cell with index `offset`. */
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
