/**
 * The replicated log from the first instant on, under random schedules with fixed seeds, each ending
 * with a power loss and then with all daemons back. Tests run serially so that the runner receives
 * each result as it completes and does not time out.
 */
import test from 'ava';
import fc from 'fast-check';
import { dispatchByKind } from '../../../src/base/common/handlers.js';
import { declarationId } from '../../../src/service/declaration/common/declarationTables.js';
import {
  createRun,
  endFaults,
  losePower,
  maximumPosition,
  proposalMilliseconds,
  stepHandlers,
  type Run,
  type Step,
  type StepKind,
} from './startingSteps.js';

/** `recoveryS` of the users' requirements. */
const recoveryMilliseconds = 12_000;

const stepOf = (kind: StepKind): fc.Arbitrary<Step> =>
  fc.record({
    kind: fc.constant(kind),
    at: fc.nat({ max: maximumPosition }),
    other: fc.nat({ max: maximumPosition }),
    milliseconds: fc.oneof(
      fc.integer({ min: 0, max: 60 }),
      fc.integer({ min: 0, max: 1_000 }),
      fc.integer({ min: 0, max: 5_000 }),
    ),
  });

const schedule = fc.array(
  fc.oneof(
    { weight: 6, arbitrary: stepOf('run') },
    { weight: 5, arbitrary: stepOf('declare') },
    { weight: 2, arbitrary: stepOf('restart') },
    { weight: 2, arbitrary: stepOf('freeze') },
    { weight: 2, arbitrary: stepOf('cut') },
    { weight: 1, arbitrary: stepOf('isolate') },
    { weight: 2, arbitrary: stepOf('loseMessages') },
    { weight: 2, arbitrary: stepOf('slowDisk') },
    { weight: 3, arbitrary: stepOf('wipe') },
    { weight: 3, arbitrary: stepOf('replace') },
    { weight: 2, arbitrary: stepOf('losePower') },
    { weight: 2, arbitrary: stepOf('losePowerAndDisk') },
  ),
  { minLength: 3, maxLength: 14 },
);

const findTermsWithTwoLeaders = ({ installation }: Run): string[] => {
  const leaderByTerm = new Map<unknown, string>();
  return installation
    .events()
    .filter(({ kind }) => kind === 'leadershipTaken')
    .flatMap(({ subject, process }) => {
      const earlierLeader = leaderByTerm.get(subject.term) ?? process;
      leaderByTerm.set(subject.term, process);
      return earlierLeader === process
        ? []
        : [`${earlierLeader} and ${process} led in term ${subject.term}`];
    });
};

const versionAt = ({ installation }: Run, name: string): number =>
  installation.daemon(name).core.world.declarations.get(declarationId)?.version ?? 0;

const newestAcceptedVersion = ({ history }: Run): number =>
  [...history.accepted()]
    .filter((id) => id.startsWith('declare-'))
    .reduce(
      (newestVersion, id) => Math.max(newestVersion, Number(id.slice('declare-'.length)) + 1),
      0,
    );

/** Descriptions of the invariants that the run violated. */
const findViolations = (run: Run, lastCount: number): string[] => {
  const newestVersion = newestAcceptedVersion(run);
  const outdated = run.inUse.filter((name) => versionAt(run, name) < newestVersion);
  return [
    ...run.history.violations(),
    ...findTermsWithTwoLeaders(run),
    ...(newestVersion === lastCount + 1
      ? []
      : [`the last change was not accepted; version ${newestVersion} was`]),
    ...(outdated.length === 0
      ? []
      : [`${outdated.join()} do not hold the accepted version ${newestVersion}`]),
  ];
};

/** Runs a schedule, and declares once more when all daemons are back. */
const runSchedule = (steps: readonly Step[], seed: number): string[] => {
  const run = createRun(seed);
  steps.forEach((step, count) => dispatchByKind(stepHandlers, step, run, count));
  const lastCount = steps.length;
  // The final fault: power and, where no other is lost, one disk.
  const lostDisk = [null, ...run.inUse][seed % (run.inUse.length + 1)] ?? null;
  losePower(run, run.canLoseDisk() ? lostDisk : null);
  endFaults(run);
  run.installation.runFor(recoveryMilliseconds - proposalMilliseconds);
  stepHandlers.declare({ kind: 'declare', at: seed, other: 0, milliseconds: 0 }, run, lastCount);
  run.installation.runFor(proposalMilliseconds);
  return findViolations(run, lastCount);
};

const runsPerSeed = 12;

const checkProperty = (seed: number): void =>
  fc.assert(
    fc.property(schedule, fc.integer({ min: 1, max: 2 ** 30 }), (steps, runSeed) => {
      const violations = runSchedule(steps, runSeed);
      if (violations.length > 0) throw new Error(violations.join('\n'));
    }),
    { seed, numRuns: runsPerSeed, endOnFailure: true },
  );

[41, 42, 43, 44, 45, 46, 47, 48].forEach((seed) => {
  test.serial(
    `voters that start keep all accepted proposals and elect a leader again, seed ${seed}`,
    (t) => {
      t.notThrows(() => checkProperty(seed));
    },
  );
});
