/**
 * `npm run scenarios [NAME…]`: runs all scenario files, or those whose path contains a NAME. Prints one
 * line for each scenario and a report for each failure; the exit code is 1 if any scenario fails.
 */
import { listScenarios, readScenario, type ScenarioFile } from './scenario.js';
import { formatFailure } from './report.js';
import { runScenario, type ScenarioVerdict } from './runScenario.js';

type PrintVerdict = (file: ScenarioFile, verdict: ScenarioVerdict) => void;

const counts = { passed: 0, notBuilt: 0, failed: 0 };

const printVerdict: PrintVerdict = ({ name, scenario }, verdict) => {
  counts[verdict.kind] += 1;
  console.log(`${verdict.kind.padEnd(8)} ${name}: ${scenario.title}`);
  if (verdict.kind === 'notBuilt') console.log(`  needs ${verdict.missing.join(', ')}`);
  if (verdict.kind !== 'failed') return;
  verdict.failures.forEach((failure) => console.log(formatFailure(failure, verdict.run)));
};

const requestedNames = process.argv.slice(2);
const isRequested = (file: string): boolean =>
  requestedNames.length === 0 || requestedNames.some((name) => file.includes(name));

listScenarios('scenarios')
  .filter(isRequested)
  .forEach((path) =>
    readScenario(path).match(
      (file) => printVerdict(file, runScenario(file.scenario)),
      (error) => {
        counts.failed += 1;
        console.log(error.message);
      },
    ),
  );
console.log(`${counts.passed} passed, ${counts.failed} failed, ${counts.notBuilt} not built`);
process.exitCode = counts.failed === 0 ? 0 : 1;
