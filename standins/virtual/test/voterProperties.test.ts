/**
 * The replicated log while its voters change: random schedules of crashes, freezes, network cuts,
 * lost disks and restarts with fixed seeds, each ending with a power loss of all daemons. Tests run
 * serially so that the runner receives each result as it completes and does not time out.
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

const initialVoters = ['d1', 'd2', 'd3'];
const names = ['d1', 'd2', 'd3', 'd4'];
/** `catchUpS` of the users' requirements: a restarted VM counts as lost for this time. */
const catchUpMilliseconds = 4_600;
/** `recoveryS` of the users' requirements minus the time for one request. */
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

/**
 * Starts three or four control daemons, the first three of which are the initial voters, and
 * records the accepted proposals.
 */
const createRun = (seed: number, hasSpareDaemon: boolean) => {
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
    initiallyStopped: hasSpareDaemon ? [] : ['d4'],
    voters: (name, incarnation) =>
      initialVoters.includes(name) && incarnation === 1 ? initialVoters : [],
    latency: () => 1 + random.nextInteger(30),
    syncDelay: 2,
    ports: [history.createPort],
  });
  created = installation;
  return { installation, history, daemonNames: hasSpareDaemon ? names : initialVoters };
};
type Run = ReturnType<typeof createRun>;

/**
 * Stops a daemon for a while and waits until it has caught up, so that only one is lost at a time.
 */
const stopTemporarily = (
  { installation }: Run,
  name: string,
  milliseconds: number,
  shouldWipe: boolean,
) => {
  installation.stop(name);
  if (shouldWipe) installation.disk(name).clear();
  installation.runFor(milliseconds);
  installation.start(name);
  installation.runFor(catchUpMilliseconds);
};

const restartAll = ({ installation, daemonNames }: Run, wipedDaemon: string | null): void => {
  daemonNames.forEach((name) => installation.stop(name));
  if (wipedDaemon !== null) installation.disk(wipedDaemon).clear();
  daemonNames.forEach((name) => {
    installation.start(name);
    installation.runFor(20);
  });
};

const daemonNameAt = ({ daemonNames }: Run, at: number): string =>
  daemonNames[at % daemonNames.length]!;

const handlers: HandlerTable<Step, void, [Run, number]> = {
  run: ({ milliseconds }, { installation }) => installation.runFor(milliseconds),
  declare: ({ at }, run, count) => {
    const name = daemonNameAt(run, at);
    worldOf(run.installation, name).proposals.append({
      id: asBrand(`declare-${count}`),
      command: testDeclarationCommand(count + 1),
      proposalDeadline: run.installation.now() + settleMilliseconds,
    });
    run.installation.wake(name);
  },
  restart: ({ at }, run) => stopTemporarily(run, daemonNameAt(run, at), 20, false),
  stop: ({ at, milliseconds }, run) =>
    stopTemporarily(run, daemonNameAt(run, at), milliseconds, false),
  wipe: ({ at, milliseconds }, run) =>
    stopTemporarily(run, daemonNameAt(run, at), milliseconds, true),
  freeze: ({ at, milliseconds }, run) => {
    run.installation.freeze(daemonNameAt(run, at));
    run.installation.runFor(milliseconds);
    run.installation.thaw(daemonNameAt(run, at));
  },
  cut: ({ at, milliseconds }, run) => {
    const others = run.daemonNames.filter((name) => name !== daemonNameAt(run, at));
    others.forEach((name) => run.installation.cut(daemonNameAt(run, at), name));
    run.installation.runFor(milliseconds);
    others.forEach((name) => run.installation.heal(daemonNameAt(run, at), name));
  },
  endAll: (_step, run) => {
    restartAll(run, null);
    run.installation.runFor(recoveryMilliseconds);
  },
};

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

const readVersions = ({ installation }: Run): number[] =>
  installation
    .runningNames()
    .map((name) => worldOf(installation, name).declarations.get(declarationId)?.version ?? 0);

const newestAcceptedVersion = ({ history }: Run): number =>
  [...history.accepted()]
    .filter((id) => id.startsWith('declare-'))
    .reduce(
      (newestVersion, id) => Math.max(newestVersion, Number(id.slice('declare-'.length)) + 1),
      0,
    );

/** Descriptions of the invariants that the run violated. */
const findViolations = (run: Run): string[] => {
  const newestVersion = newestAcceptedVersion(run);
  const outdatedVersions = readVersions(run).filter((version) => version < newestVersion);
  return [
    ...run.history.violations(),
    ...findTermsWithTwoLeaders(run),
    ...(leaderOf(run.installation) === undefined
      ? ['no leader after all daemons have restarted']
      : []),
    ...(outdatedVersions.length > 0
      ? [`version ${newestVersion} was accepted, but daemons have ${outdatedVersions.join()}`]
      : []),
  ];
};

const runSchedule = (steps: readonly Step[], seed: number, hasSpareDaemon: boolean): string[] => {
  const run = createRun(seed, hasSpareDaemon);
  run.installation.runFor(settleMilliseconds);
  steps.forEach((step, count) => dispatchByKind(handlers, step, run, count));
  // All daemons stop together; the seed selects whether one disk, the tolerated maximum, is lost.
  const lostDisk = [null, ...run.daemonNames][seed % (run.daemonNames.length + 1)] ?? null;
  restartAll(run, lostDisk);
  run.installation.runFor(recoveryMilliseconds);
  return run.daemonNames.every((name) => isRunning(run.installation, name))
    ? findViolations(run)
    : ['a daemon is not running'];
};

const runsPerSeed = 20;

const checkProperty = (seed: number, hasSpareDaemon: boolean): void =>
  fc.assert(
    fc.property(schedule, fc.integer({ min: 1, max: 2 ** 30 }), (steps, runSeed) => {
      const faults = runSchedule(steps, runSeed, hasSpareDaemon);
      if (faults.length > 0) throw new Error(faults.join('\n'));
    }),
    { seed, numRuns: runsPerSeed, endOnFailure: true },
  );

[21, 22, 23, 24, 25, 26].forEach((seed) => {
  test.serial(
    `three voters keep all accepted proposals and elect a leader again, seed ${seed}`,
    (t) => {
      t.notThrows(() => checkProperty(seed, false));
    },
  );
  test.serial(
    `voters and a spare keep all accepted proposals and elect a leader again, seed ${seed}`,
    (t) => {
      t.notThrows(() => checkProperty(seed, true));
    },
  );
});
