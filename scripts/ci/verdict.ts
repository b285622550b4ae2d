/**
 * `node verdict.js RESULT-FILE KNOWN-RED-FILE`: prints the verdict on a test run from its TAP output.
 * The exit code is 1 if the run has a fault or no passed test.
 */
import { readFileSync } from 'node:fs';
import { evaluateTestRun } from './evaluateTestRun.js';

const readLines = (file: string): string[] => readFileSync(file, 'utf8').split('\n');

const [resultFile, knownRedFile] = process.argv.slice(2);
const lines = readLines(resultFile!);
const { passed, expected, faults } = evaluateTestRun(lines, readLines(knownRedFile!));

expected.forEach((entry) => console.log(`known red: ${entry}`));
if (faults.length > 0 || passed === 0) {
  console.log(lines.join('\n'));
  process.exitCode = 1;
}
faults.forEach((fault) => console.log(fault));
console.log(`${passed} passed, ${faults.length} failed`);
