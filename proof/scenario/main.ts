/**
 * `npm run scenarios [NAME…]`: runs the scenario files, prints a line for each and a report for each failure.
 */
import { listScenarios, readScenario, type ScenarioFile } from './scenario.js';
import { reportFailure } from './report.js';
import { runScenario, type ScenarioVerdict } from './runScenario.js';

type Print = (file: ScenarioFile, verdict: ScenarioVerdict) => void;

const counts = { passed: 0, notBuilt: 0, failed: 0 };

const print: Print = ({ name, scenario }, verdict) => {
  counts[verdict.kind] += 1;
  console.log(`${verdict.kind.padEnd(8)} ${name}: ${scenario.title}`);
  if (verdict.kind === 'notBuilt') console.log(`  needs ${verdict.missing.join(', ')}`);
  if (verdict.kind !== 'failed') return;
  verdict.failures.forEach((failure) => console.log(reportFailure(failure, verdict.run)));
};

const chosen = process.argv.slice(2);
const isChosen = (file: string): boolean =>
  chosen.length === 0 || chosen.some((name) => file.includes(name));

listScenarios('scenarios')
  .filter(isChosen)
  .forEach((path) =>
    readScenario(path).match(
      (file) => print(file, runScenario(file.scenario)),
      (error) => {
        counts.failed += 1;
        console.log(error.message);
      },
    ),
  );
console.log(`${counts.passed} passed, ${counts.failed} failed, ${counts.notBuilt} not built`);
process.exitCode = counts.failed === 0 ? 0 : 1;
