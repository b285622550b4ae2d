/**
 * The log under changes of voters: random schedules of crashes, freezes, cuts, lost disks and daemons that
 * come and go, by fixed seeds, each with a loss of power of all at the end. Tests run one after the other, so
 * that the runner hears of each as it ends.
 */
import test from 'ava';
import fc from 'fast-check';
import { asBrand } from '../../../src/base/common/brand.js';
import { dispatchByKind, type HandlerTable } from '../../../src/base/common/handlers.js';
import { createRandom } from '../../../src/base/common/random.js';
import { Discovery } from '../../../src/infrastructure/settings/common/deployment.js';
import { defaultFleetSettings } from '../../../src/infrastructure/settings/common/fleetSettings.js';
import { replicaOf } from '../../../src/service/consensus/common/replicaLog.js';
import { isCurrentLeader } from '../../../src/service/consensus/common/replicaTables.js';
import { Profile } from '../../../src/service/core/common/core.js';
import { declarationId } from '../../../src/service/declaration/common/declarationTables.js';
import { createControlHistory } from '../controlHistory.js';
import { testDeclarationCommand } from '../fleetFixture.js';
import { createTestDeployment, createTestTree } from '../testDeployment.js';
import { createVirtualInstallation, type VirtualInstallation } from '../virtualInstallation.js';

const firstVoters = ['d1', 'd2', 'd3'];
const names = ['d1', 'd2', 'd3', 'd4'];
/** `catchUpS` of the users' sheets: so long after it is back a machine counts as lost. */
const catchUpMilliseconds = 4_600;
/** `recoveryS` of the users' sheets, less the time for one request. */
const recoveryMilliseconds = 11_000;
const settleMilliseconds = 6_000;

type Step =
  | { readonly kind: 'run'; readonly milliseconds: number }
  | { readonly kind: 'declare'; readonly at: number }
  | { readonly kind: 'restart'; readonly at: number }
  | { readonly kind: 'stop'; readonly at: number; readonly milliseconds: number }
  | { readonly kind: 'freeze'; readonly at: number; readonly milliseconds: number }
  | { readonly kind: 'cut'; readonly at: number; readonly milliseconds: number }
  | { readonly kind: 'wipe'; readonly at: number; readonly milliseconds: number }
  | { readonly kind: 'endAll' };

const stepOf = (kind: Step['kind']) =>
  fc.record({
    kind: fc.constant(kind),
    at: fc.nat({ max: names.length - 1 }),
    milliseconds: fc.oneof(fc.integer({ min: 0, max: 60 }), fc.integer({ min: 0, max: 5_000 })),
  }) as unknown as fc.Arbitrary<Step>;

const schedule = fc.array(
  fc.oneof(
    { weight: 6, arbitrary: stepOf('run') },
    { weight: 6, arbitrary: stepOf('declare') },
    { weight: 2, arbitrary: stepOf('restart') },
    { weight: 2, arbitrary: stepOf('stop') },
    { weight: 2, arbitrary: stepOf('freeze') },
    { weight: 2, arbitrary: stepOf('cut') },
    { weight: 2, arbitrary: stepOf('wipe') },
    { weight: 1, arbitrary: stepOf('endAll') },
  ),
  { minLength: 4, maxLength: 16 },
);

const worldOf = (installation: VirtualInstallation, name: string) =>
  installation.daemon(name).core.world;

const isRunning = (installation: VirtualInstallation, name: string): boolean =>
  installation.runningNames().includes(name);

const leaderOf = (installation: VirtualInstallation): string | undefined =>
  installation
    .runningNames()
    .find((name) => isCurrentLeader(replicaOf(worldOf(installation, name)), installation.now()));

/** Three or four control daemons of which the first three vote at first, and what was accepted. */
const createRun = (seed: number, hasSpare: boolean) => {
  const random = createRandom(seed);
  let created: VirtualInstallation | undefined;
  const history = createControlHistory(() => created);
  const installation = createVirtualInstallation({
    deployment: {
      ...createTestDeployment(names.length, names.length),
      discovery: Discovery.Announced,
    },
    tree: createTestTree(),
    seed,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: 3 },
    notStarted: hasSpare ? [] : ['d4'],
    voters: (name, incarnation) =>
      firstVoters.includes(name) && incarnation === 1 ? firstVoters : [],
    latency: () => 1 + random.nextInteger(30),
    syncDelay: 2,
    ports: [history.port],
  });
  created = installation;
  return { installation, history, used: hasSpare ? names : firstVoters };
};
type Run = ReturnType<typeof createRun>;

/** Ends a daemon for a while, unless it does not run; one may be lost at a time. */
const endFor = ({ installation }: Run, name: string, milliseconds: number, isWiped: boolean) => {
  installation.stop(name);
  if (isWiped) installation.disk(name).clear();
  installation.runFor(milliseconds);
  installation.start(name);
  installation.runFor(catchUpMilliseconds);
};

const endAll = ({ installation, used }: Run, wiped: string | null): void => {
  used.forEach((name) => installation.stop(name));
  if (wiped !== null) installation.disk(wiped).clear();
  used.forEach((name) => {
    installation.start(name);
    installation.runFor(20);
  });
};

const nameAt = ({ used }: Run, at: number): string => used[at % used.length]!;

const handlers: HandlerTable<Step, void, [Run, number]> = {
  run: ({ milliseconds }, { installation }) => installation.runFor(milliseconds),
  declare: ({ at }, run, count) => {
    const name = nameAt(run, at);
    worldOf(run.installation, name).proposals.append({
      id: asBrand(`declare-${count}`),
      command: testDeclarationCommand(count + 1),
      proposalDeadline: run.installation.now() + settleMilliseconds,
    });
    run.installation.wake(name);
  },
  restart: ({ at }, run) => endFor(run, nameAt(run, at), 20, false),
  stop: ({ at, milliseconds }, run) => endFor(run, nameAt(run, at), milliseconds, false),
  wipe: ({ at, milliseconds }, run) => endFor(run, nameAt(run, at), milliseconds, true),
  freeze: ({ at, milliseconds }, run) => {
    run.installation.freeze(nameAt(run, at));
    run.installation.runFor(milliseconds);
    run.installation.thaw(nameAt(run, at));
  },
  cut: ({ at, milliseconds }, run) => {
    const others = run.used.filter((name) => name !== nameAt(run, at));
    others.forEach((name) => run.installation.cut(nameAt(run, at), name));
    run.installation.runFor(milliseconds);
    others.forEach((name) => run.installation.heal(nameAt(run, at), name));
  },
  endAll: (_step, run) => {
    endAll(run, null);
    run.installation.runFor(recoveryMilliseconds);
  },
};

const doubledTerms = ({ installation }: Run): string[] => {
  const leaders = new Map<unknown, string>();
  return installation
    .events()
    .filter(({ kind }) => kind === 'leadershipTaken')
    .flatMap(({ subject, process }) => {
      const before = leaders.get(subject.term) ?? process;
      leaders.set(subject.term, process);
      return before === process ? [] : [`${before} and ${process} led in term ${subject.term}`];
    });
};

const versionsOf = ({ installation }: Run): number[] =>
  installation
    .runningNames()
    .map((name) => worldOf(installation, name).declarations.get(declarationId)?.version ?? 0);

const newestAccepted = ({ history }: Run): number =>
  [...history.accepted()]
    .filter((id) => id.startsWith('declare-'))
    .reduce((newest, id) => Math.max(newest, Number(id.slice('declare-'.length)) + 1), 0);

/** What did not hold, in words. */
const faultsOf = (run: Run): string[] => {
  const newest = newestAccepted(run);
  const behind = versionsOf(run).filter((version) => version < newest);
  return [
    ...run.history.violations(),
    ...doubledTerms(run),
    ...(leaderOf(run.installation) === undefined ? ['no leader when all are back'] : []),
    ...(behind.length > 0 ? [`version ${newest} was accepted, there are ${behind.join()}`] : []),
  ];
};

const runSchedule = (steps: readonly Step[], seed: number, hasSpare: boolean): string[] => {
  const run = createRun(seed, hasSpare);
  run.installation.runFor(settleMilliseconds);
  steps.forEach((step, count) => dispatchByKind(handlers, step, run, count));
  // All daemons end at once; up to as many disks as may be lost are lost with them.
  const lost = [null, ...run.used][seed % (run.used.length + 1)] ?? null;
  endAll(run, lost);
  run.installation.runFor(recoveryMilliseconds);
  return run.used.every((name) => isRunning(run.installation, name))
    ? faultsOf(run)
    : ['a daemon does not run'];
};

const runsOfSeed = 20;

const check = (seed: number, hasSpare: boolean): void =>
  fc.assert(
    fc.property(schedule, fc.integer({ min: 1, max: 2 ** 30 }), (steps, runSeed) => {
      const faults = runSchedule(steps, runSeed, hasSpare);
      if (faults.length > 0) throw new Error(faults.join('\n'));
    }),
    { seed, numRuns: runsOfSeed, endOnFailure: true },
  );

[21, 22, 23, 24, 25, 26].forEach((seed) => {
  test.serial(`three voters keep what was accepted and find a leader again, seed ${seed}`, (t) => {
    t.notThrows(() => check(seed, false));
  });
  test.serial(
    `voters and a spare keep what was accepted and find a leader again, seed ${seed}`,
    (t) => {
      t.notThrows(() => check(seed, true));
    },
  );
});
