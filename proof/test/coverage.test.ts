/** Checks that scenarios cover every promise, and scenarios and faults of the matrix every failure. */
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

test('there is one invariant for each promise that the users require', (t) => {
  t.is(Object.keys(invariants).length, promiseCount);
});

test('the requirements on fault tolerance name every failure exactly once', (t) => {
  t.deepEqual([...failureRequirements.flat()].sort(), [...Object.values(FailureName)].sort());
});

const isCovered = (name: InvariantName): boolean =>
  isBuilt[requiredCapabilities[name]] &&
  scenarios.some(
    ({ promises, needs }) => promises.includes(name) && needs.every(isCapabilityBuilt),
  );

Object.values(InvariantName).forEach((name) =>
  test(`promise ${name} is covered by a scenario that runs, or is listed as not proved`, (t) => {
    t.is(isCovered(name), !unprovedPromises.includes(name));
  }),
);

Object.values(InvariantName).forEach((name) =>
  test(`promise ${name} is listed in docs/PROMISES.md, and marked there if it is not proved`, (t) => {
    const page = readFileSync('docs/PROMISES.md', 'utf8');
    const row = page.split('\n').find((line) => line.startsWith(`| ${name} `));
    t.truthy(row);
    if (unprovedPromises.includes(name)) t.regex(row!, /\*\*not proved\*\*/);
  }),
);

Object.values(FailureName).forEach((name) =>
  test(`failure ${name} is covered by a scenario of each installation and by a fault`, (t) => {
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
