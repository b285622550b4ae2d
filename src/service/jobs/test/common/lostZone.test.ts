/** Work leaves a zone that is lost with its control daemons, entries and engines (rule Z2). */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import {
  defaultFleetSettings,
  defaultPlaceSettings,
} from '../../../../infrastructure/settings/common/fleetSettings.js';
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
import { createVirtualEngines } from '../../../../../standins/virtual/virtualEngines.js';
import { createVirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import { Profile } from '../../../core/common/core.js';
import type { Command } from '../../../consensus/common/command.js';
import { maximumFailoverMilliseconds } from '../../../consensus/common/consensusTiming.js';
import type { Declaration } from '../../../declaration/common/declaration.js';
import { reportTimeoutMilliseconds } from '../../../registry/common/registrations.js';

const settleMilliseconds = 8_000;
const commitMilliseconds = 1_000;
const jobIntervalMilliseconds = 1_000;
const jobsBeforeLoss = 3;
const jobCount = 15;
const zones = ['z1', 'z2', 'z3'];
const controlCount = 6;
const enginesPerZone = 2;

/** Items that no engine runs in time would end, and hide where they are sent. */
const withoutLifetimes = (declaration: Declaration): Declaration => ({
  ...declaration,
  routes: declaration.routes.map((route) => ({ ...route, itemLifetimeMilliseconds: null })),
});

/** From the last report of an engine until it gets items only if no other engine can run them. */
const overdueMilliseconds = 2_200;

/**
 * Time for which a remaining control daemon repeats the last report of an engine in its heartbeats,
 * which are 1 s apart here. Each repetition counts as a report at the leader.
 */
const repeatMilliseconds = 2_200;

interface Loss {
  /** Whether the leader is in the lost zone. */
  readonly hasLeader: boolean;
  /** Items of the job of each second; the engines that remain run about ten in a second. */
  readonly itemsPerJob: number;
}

const loseZone = (seed: number, { hasLeader, itemsPerJob }: Loss) => {
  const names = Array.from({ length: controlCount }, (_, index) => `d${index + 1}`);
  const initialVoters = names.slice(0, 5);
  const engineZones = zones.flatMap((zone) => Array.from({ length: enginesPerZone }, () => zone));
  const engines = createVirtualEngines({ zones: engineZones, eventsPerItem: 15 });
  const deployment = {
    ...createTestDeployment(controlCount, controlCount),
    discovery: Discovery.Announced,
  };
  const installation = createVirtualInstallation({
    deployment,
    tree: createTestTree(),
    seed,
    profile: Profile.Declaration,
    fleet: {
      ...defaultFleetSettings,
      voterCount: 5,
      places: { ...defaultPlaceSettings, toleratedZoneLosses: 1 },
    },
    voters: (name, incarnation) =>
      initialVoters.includes(name) && incarnation === 1 ? initialVoters : [],
    ports: [engines.createPort],
  });
  const propose = (id: string, command: Command): void => {
    const name = leaderOf(installation) ?? installation.runningNames()[0]!;
    const proposalDeadline = installation.now() + settleMilliseconds;
    worldOf(installation, name).proposals.append({ id: asBrand(id), command, proposalDeadline });
    installation.wake(name);
  };
  const submitJobs = (first: number, end: number): void => {
    for (let job = first; job < end; job += 1) {
      const items = Array.from({ length: itemsPerJob }, (_, index) =>
        testItem(`i${job}-${index}`, `g${index}`),
      );
      propose(`job ${job}`, testJob(`j${job}`, items, { submittedAt: job }));
      installation.runFor(jobIntervalMilliseconds);
    }
  };

  engines.start(installation, names);
  installation.runFor(settleMilliseconds);
  propose('declare', {
    ...testDeclarationCommand(),
    declaration: withoutLifetimes(testDeclaration()),
  });
  installation.runFor(commitMilliseconds);
  submitJobs(0, jobsBeforeLoss);

  const zoneOf = (name: string): string =>
    deployment.daemons.find((daemon) => daemon.name === name)!.zone;
  const leaderZone = zoneOf(leaderOf(installation)!);
  const lostZone = hasLeader ? leaderZone : zones.find((zone) => zone !== leaderZone)!;
  const lostEngines = engineZones.flatMap((zone, index) =>
    zone === lostZone ? [`e${index + 1}`] : [],
  );
  const lostAt = installation.now();
  lostEngines.forEach(engines.lose);
  deployment.daemons
    .filter(({ zone }) => zone === lostZone)
    .forEach(({ name }) => installation.stop(name));
  submitJobs(jobsBeforeLoss, jobCount);

  const lateStarts = engines
    .executions()
    .filter(({ engine, startedAt }) => lostEngines.includes(engine) && startedAt > lostAt);
  const brokenItems = engines
    .executions()
    .filter(
      ({ engine, startedAt, endedAt }) =>
        lostEngines.includes(engine) && startedAt <= lostAt && endedAt > lostAt,
    )
    .map(({ item }) => item);
  const continuedAt = (item: string): number =>
    Math.min(
      ...engines
        .executions()
        .filter(
          (execution) =>
            execution.item === item &&
            execution.startedAt > lostAt &&
            !lostEngines.includes(execution.engine),
        )
        .map(({ startedAt }) => startedAt),
    );
  return {
    lastStartAfter: Math.max(0, ...lateStarts.map(({ startedAt }) => startedAt - lostAt)),
    lateStarts: lateStarts.length,
    brokenItems: brokenItems.length,
    continuedAfter: Math.max(...brokenItems.map((item) => continuedAt(item) - lostAt)),
    hasLeader: leaderOf(installation) !== undefined,
  };
};

const itemsWithRoom = 6;
const itemsWithoutRoom = 14;

const losses: Readonly<Record<string, Loss & { readonly boundMilliseconds: number }>> = {
  'without the leader': {
    hasLeader: false,
    itemsPerJob: itemsWithRoom,
    boundMilliseconds: overdueMilliseconds + repeatMilliseconds,
  },
  'with the leader': {
    hasLeader: true,
    itemsPerJob: itemsWithRoom,
    boundMilliseconds: overdueMilliseconds + repeatMilliseconds + maximumFailoverMilliseconds,
  },
  // An overdue engine still gets items that no other engine has room for.
  'without the leader while no other zone has room': {
    hasLeader: false,
    itemsPerJob: itemsWithoutRoom,
    boundMilliseconds: reportTimeoutMilliseconds + repeatMilliseconds,
  },
  'with the leader while no other zone has room': {
    hasLeader: true,
    itemsPerJob: itemsWithoutRoom,
    boundMilliseconds: reportTimeoutMilliseconds + repeatMilliseconds,
  },
};

Object.entries(losses).forEach(([name, loss]) =>
  [1, 2].forEach((seed) =>
    test(`work leaves a zone that is lost ${name} (seed ${seed})`, (t) => {
      const result = loseZone(seed, loss);
      t.log(JSON.stringify(result));
      t.true(result.hasLeader);
      t.true(result.brokenItems > 0);
      t.true(result.lastStartAfter <= loss.boundMilliseconds);
      t.true(result.continuedAfter <= loss.boundMilliseconds);
    }),
  ),
);
