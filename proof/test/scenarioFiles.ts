/**
 * Declares one test for each scenario file of an installation. Tests run one after the other, so that the
 * runner hears of each as it ends and not of all after the last.
 */
import test from 'ava';
import { FailureName } from '../coverage/failures.js';
import { formatFailure } from '../scenario/report.js';
import { runScenario } from '../scenario/runScenario.js';
import { listScenarios, readScenario, type ScenarioFile } from '../scenario/scenario.js';
import type { InstallationName } from '../system/installations.js';

/** Reads every scenario file. */
export const readAllScenarios = (): ScenarioFile[] =>
  listScenarios('scenarios').map((path) =>
    readScenario(path).match(
      (file) => file,
      (error) => {
        throw new Error(error.message);
      },
    ),
  );

const declareScenarioTest = ({ name, scenario }: ScenarioFile): void =>
  test.serial(`${name}: ${scenario.title}`, (t) => {
    const verdict = runScenario(scenario);
    if (verdict.kind === 'failed') {
      verdict.failures.forEach((failure) => t.fail(formatFailure(failure, verdict.run)));
    } else if (verdict.kind === 'notBuilt') t.log(`not built: ${verdict.missing.join(', ')}`);
    t.pass();
  });

/** Declares the tests of the scenarios that run on an installation: of single failures, or of pairs. */
export const declareScenarioTests = (
  installation: InstallationName,
  isCombination: boolean,
): void =>
  readAllScenarios()
    .filter(({ scenario }) => scenario.installation === installation)
    .filter(({ scenario }) => scenario.failures.includes(FailureName.Combination) === isCombination)
    .forEach(declareScenarioTest);
