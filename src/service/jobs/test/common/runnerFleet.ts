/**
 * Control daemons in two regions with engines in one of them, and a job whose home region that is,
 * for tests of its runner.
 */
import { asBrand } from '../../../../base/common/brand.js';
import type { Milliseconds } from '../../../../base/common/time.js';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import {
  testDeclaration,
  testDeclarationCommand,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import { leaderOf, worldOf } from '../../../../../standins/virtual/inspection.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import { createVirtualContents } from '../../../../../standins/virtual/virtualContents.js';
import {
  createVirtualEngines,
  type EngineExecution,
  type VirtualEngines,
} from '../../../../../standins/virtual/virtualEngines.js';
import {
  createVirtualInstallation,
  type VirtualInstallation,
} from '../../../../../standins/virtual/virtualInstallation.js';
import { Profile } from '../../../core/common/core.js';
import type { Command } from '../../../consensus/common/command.js';
import type { JobSubmitted } from '../../common/jobCommands.js';
import type { JobId, JobRow } from '../../common/jobTables.js';

/** Zones z1 and z2 are in region r1, zone z3 in region r2. */
export const controlNames = ['d1', 'd2', 'd3', 'd4', 'd5', 'd6'];
const initialVoters = controlNames.slice(0, 5);

/** Holders of the jobs with home regions; all are in region r1. */
export const holders = ['d2', 'd4', 'd5'];

export const engineSlots = 4;
const engineZones = ['z1', 'z2'];
const eventsPerItem = 20;

/** Time for which an engine runs an item. */
export const itemMilliseconds: Milliseconds = 2_000;

const settleMilliseconds = 8_000;
const commitMilliseconds = 1_000;
const proposalTimeoutMilliseconds = 60_000;

export interface RunnerFleet {
  readonly installation: VirtualInstallation;
  readonly engines: VirtualEngines;
  /** Kinds of the messages that daemons sent so far. */
  readonly messageKinds: ReadonlySet<string>;
  readonly propose: (name: string, id: string, command: Command) => void;
  /** Submits a job and returns as soon as its items are sent to engines. */
  readonly submitJob: (job: string, items: number, columns?: Partial<JobSubmitted>) => void;
  readonly leader: () => string;
  /** Returns the row of a job at a daemon, by default at the leader. */
  readonly jobAt: (job: string, name?: string) => JobRow;
  readonly executionsOf: (job: string) => readonly EngineExecution[];
}

/** Columns of a job whose home region is r1. */
export const homeColumns: Partial<JobSubmitted> = { homeRegions: ['r1'], holders };

/** Creates the fleet with a leader and a declaration in force. */
export const createRunnerFleet = (seed: number): RunnerFleet => {
  const engines = createVirtualEngines({ zones: engineZones, eventsPerItem, slots: engineSlots });
  const messageKinds = new Set<string>();
  const installation = createVirtualInstallation({
    deployment: {
      ...createTestDeployment(controlNames.length, controlNames.length),
      discovery: Discovery.Announced,
    },
    tree: createTestTree(),
    seed,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: initialVoters.length },
    voters: (name, incarnation) =>
      initialVoters.includes(name) && incarnation === 1 ? initialVoters : [],
    ports: [engines.createPort, createVirtualContents().createPort],
    onDidSendMessage: (_from, _to, { kind }) => messageKinds.add(kind),
  });
  const leader = (): string => leaderOf(installation)!;

  const propose = (name: string, id: string, command: Command): void => {
    worldOf(installation, name).proposals.append({
      id: asBrand(id),
      command,
      proposalDeadline: installation.now() + proposalTimeoutMilliseconds,
    });
    installation.wake(name);
  };

  engines.start(installation, controlNames);
  installation.runFor(settleMilliseconds);
  const declaration = testDeclaration();
  propose(leader(), 'declare', {
    ...testDeclarationCommand(),
    declaration: {
      ...declaration,
      // Items must not end before a lost runner is replaced.
      routes: declaration.routes.map((route) => ({ ...route, itemLifetimeMilliseconds: null })),
    },
  });
  installation.runFor(commitMilliseconds);

  const executionsOf = (job: string): EngineExecution[] =>
    engines.executions().filter(({ item }) => item.startsWith(`${job}/`));

  return {
    installation,
    engines,
    messageKinds,
    propose,
    leader,
    executionsOf,
    submitJob: (job, count, columns = {}) => {
      const items = Array.from({ length: count }, (_, index) =>
        testItem(`${job}-${index}`, `g${index}`),
      );
      propose(leader(), `submit ${job}`, testJob(job, items, columns));
      for (
        let waited = 0;
        executionsOf(job).length === 0 && waited < commitMilliseconds;
        waited += 1
      )
        installation.runFor(1);
    },
    jobAt: (job, name = leader()) => worldOf(installation, name).jobs.get(asBrand<JobId>(job))!,
  };
};

/** Returns the pairs of executions of the same item by different daemons that overlap in time. */
export const overlapsOf = (executions: readonly EngineExecution[]): string[] =>
  executions.flatMap((first, index) =>
    executions
      .slice(index + 1)
      .filter(
        (second) =>
          second.item === first.item &&
          second.daemon !== first.daemon &&
          first.startedAt < second.endedAt &&
          second.startedAt < first.endedAt,
      )
      .map((second) => `${first.item}: ${first.daemon} and ${second.daemon}`),
  );

/** Returns the largest number of items that an engine ran at once. */
export const peakLoadOf = (executions: readonly EngineExecution[], engine: string): number => {
  const own = executions.filter((execution) => execution.engine === engine);
  return Math.max(
    0,
    ...own.map(
      ({ startedAt }) =>
        own.filter((other) => other.startedAt <= startedAt && startedAt < other.endedAt).length,
    ),
  );
};
