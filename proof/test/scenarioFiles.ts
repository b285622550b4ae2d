/**
 * Declares one test for each scenario file of an installation. The tests are serial, so that the runner
 * reports each one when it ends and not all after the last.
 */
import test from 'ava';
import { FailureName } from '../coverage/failures.js';
import { formatFailure } from '../scenario/report.js';
import { runScenario } from '../scenario/runScenario.js';
import { listScenarios, readScenario, type ScenarioFile } from '../scenario/scenario.js';
import type { InstallationName } from '../system/installations.js';

/** Reads every scenario file; throws if one is invalid. */
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

/** Declares the tests of the scenarios on an installation that do or do not combine two failures. */
export const declareScenarioTests = (
  installation: InstallationName,
  isCombination: boolean,
): void =>
  readAllScenarios()
    .filter(({ scenario }) => scenario.installation === installation)
    .filter(({ scenario }) => scenario.failures.includes(FailureName.Combination) === isCombination)
    .forEach(declareScenarioTest);
