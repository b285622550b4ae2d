/** Every promise and every failure is named by a scenario and by a row of the fault matrix. */
import { readFileSync } from 'node:fs';
import test from 'ava';
import { FailureName } from '../coverage/failures.js';
import {
  failureRequirements,
  unprovedPromises,
  promiseCount,
  requiredCapabilities,
} from '../coverage/promises.js';
import { InvariantName } from '../invariants/invariant.js';
import { invariants } from '../invariants/invariants.js';
import { faults, FaultName } from '../matrix/faults.js';
import { createCells } from '../matrix/runMatrix.js';
import { isBuilt, type Capability } from '../system/capabilities.js';
import { InstallationName } from '../system/installations.js';
import { readAllScenarios } from './scenarioFiles.js';

const scenarios = readAllScenarios().map(({ scenario }) => scenario);

const isCapabilityBuilt = (capability: Capability): boolean => isBuilt[capability];

test('there is one invariant for each point that must hold', (t) => {
  t.is(Object.keys(invariants).length, promiseCount);
});

test('the sentences of what may fail name every failure once', (t) => {
  t.deepEqual([...failureRequirements.flat()].sort(), [...Object.values(FailureName)].sort());
});

const isCovered = (name: InvariantName): boolean =>
  isBuilt[requiredCapabilities[name]] &&
  scenarios.some(
    ({ promises, needs }) => promises.includes(name) && needs.every(isCapabilityBuilt),
  );

Object.values(InvariantName).forEach((name) =>
  test(`promise ${name} is named by a scenario that runs, or is listed as not proved`, (t) => {
    t.is(isCovered(name), !unprovedPromises.includes(name));
  }),
);

Object.values(InvariantName).forEach((name) =>
  test(`promise ${name} stands on the page of promises, as not proved where it is not`, (t) => {
    const page = readFileSync('docs/PROMISES.md', 'utf8');
    const row = page.split('\n').find((line) => line.startsWith(`| ${name} `));
    t.truthy(row);
    if (unprovedPromises.includes(name)) t.regex(row!, /\*\*not proved\*\*/);
  }),
);

Object.values(FailureName).forEach((name) =>
  test(`failure ${name} is named by a scenario of each installation and by a fault`, (t) => {
    Object.values(InstallationName).forEach((installation) => {
      const installationScenarios = scenarios.filter(
        (scenario) => scenario.installation === installation,
      );
      t.true(installationScenarios.some(({ failures }) => failures.includes(name)));
    });
    t.true(Object.values(faults).some(({ failures }) => failures.includes(name)));
  }),
);

test('the matrix has a cell for every fault at every step on every installation', (t) => {
  const counts = Object.values(InstallationName).map((name) => createCells(name).length);
  t.deepEqual(counts, [counts[0], counts[0]]);
  t.is(counts[0]! % Object.keys(FaultName).length, 0);
});
