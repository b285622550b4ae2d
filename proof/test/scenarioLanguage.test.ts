/** Tests which scenarios the schema rejects, when steps fail, and what the report of a failure contains. */
import test from 'ava';
import { formatFailure } from '../scenario/report.js';
import { runScenario } from '../scenario/runScenario.js';
import { scenarioSchema, type Scenario } from '../scenario/scenario.js';

const createScenario = (steps: readonly unknown[], needs: readonly string[] = []): Scenario =>
  scenarioSchema.parse({
    title: 'a test',
    installation: 'agency',
    seed: 1,
    lasts: 3_000,
    promises: ['wholeAnswer'],
    needs,
    steps,
  });

const call = {
  kind: 'call',
  name: 'lookup',
  workspace: 'offcuts',
  service: 'taalbank',
};
const send = { step: 'at', time: 0, action: call };
const answered = { kind: 'ended', name: 'lookup', outcomes: ['answered'] };

const invalidSteps: readonly (readonly [string, unknown])[] = [
  ['an unknown step', { ...send, step: 'perhaps' }],
  ['an unknown action', { ...send, action: { kind: 'dance' } }],
  ['an unknown field', { ...send, colour: 'red' }],
  ['an unknown condition', { step: 'never', condition: { kind: 'raining' } }],
  ['an expectation without a time limit', { step: 'expect', condition: answered }],
];

invalidSteps.forEach(([description, step]) =>
  test(`${description} is rejected`, (t) => {
    t.throws(() => createScenario([step]));
  }),
);

test('a scenario passes if its expectations are met', (t) => {
  const verdict = runScenario(
    createScenario([send, { step: 'expect', within: 2_000, condition: answered }]),
  );
  t.is(verdict.kind, 'passed');
});

test('an expectation that is not met in time fails, and the report has its step, rows and timeline', (t) => {
  const condition = { ...answered, outcomes: ['refused'] };
  const verdict = runScenario(createScenario([send, { step: 'expect', within: 1_500, condition }]));
  if (verdict.kind !== 'failed') {
    t.fail(verdict.kind);
    return;
  }
  const report = formatFailure(verdict.failures[0]!, verdict.run);
  t.regex(report, /did not hold within 1500 ms/);
  t.regex(report, /"step":"expect"/);
  t.regex(report, / requests \{"keyDigest"/);
  t.regex(report, /requestAnswered/);
});

test('a scenario fails when a condition that must never hold holds', (t) => {
  const verdict = runScenario(createScenario([{ step: 'never', condition: answered }, send]));
  t.is(verdict.kind, 'failed');
});

test('a scenario that needs a missing capability is reported as not built', (t) => {
  const verdict = runScenario(createScenario([send], ['membershipChanges']));
  t.is(verdict.kind, 'notBuilt');
});

test('running a scenario twice produces the same events', (t) => {
  const scenario = createScenario([send, { step: 'never', condition: answered }]);
  const runAndListEvents = () => {
    const verdict = runScenario(scenario);
    return verdict.kind === 'failed' ? verdict.run.system.installation.events() : [];
  };
  t.true(runAndListEvents().length > 0);
  t.deepEqual(runAndListEvents(), runAndListEvents());
});
