/**
 * Nine control daemons in two regions, `d1` to `d9`, and three entries, `d10` to `d12`, for tests of
 * jobs whose contents stay in the region `r1`: `d1`, `d4`, `d7` (zone `z1`), `d2`, `d5`, `d8` (`z2`).
 */
import { asBrand } from '../../../../base/common/brand.js';
import type { Milliseconds } from '../../../../base/common/time.js';
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
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import {
  createVirtualContents,
  type VirtualContents,
} from '../../../../../standins/virtual/virtualContents.js';
import {
  createVirtualInstallation,
  type VirtualInstallation,
  type VirtualOptions,
} from '../../../../../standins/virtual/virtualInstallation.js';
import { canActAsLeader } from '../../../consensus/common/lease.js';
import { Profile } from '../../../core/common/core.js';
import type { Message } from '../../../messages/common/message.js';
import type { World } from '../../../world/common/world.js';
import type { JobItem } from '../../common/jobCommands.js';
import type { FinalAnswer, JobQuestion } from '../../common/jobReadMessages.js';
import type { JobRow } from '../../common/jobTables.js';

export const homeRegion = 'r1';
export const daemonsAtHome: readonly string[] = ['d1', 'd2', 'd4', 'd5', 'd7', 'd8'];
/** An entry outside the home region. */
export const foreignEntry = 'd12';

const daemonCount = 12;
const controlCount = 9;
const voterCount = 5;
const settleMilliseconds: Milliseconds = 10_000;
const stepMilliseconds: Milliseconds = 10;
/** Durations beyond this are for changes that no promise waits for. */
const longMilliseconds: Milliseconds = 2_000;
/** More than the promises that follow each other between a submission and its proposal. */
const promiseTurns = 20;
const longStepMilliseconds: Milliseconds = 500;
const readMilliseconds: Milliseconds = 1_200;
const proposalMilliseconds: Milliseconds = 3_000;

export type SubmissionOutcome = 'pending' | 'refused' | 'applied' | 'rejected' | 'unknown';

/** A submitted job; `outcome` is read once virtual time has gone on. */
export interface Submission {
  readonly outcome: () => SubmissionOutcome;
}

export interface ContentFleet {
  readonly installation: VirtualInstallation;
  readonly contents: VirtualContents;
  readonly worldOf: (daemon: string) => World;
  readonly leader: () => string;
  /** Runs virtual time in small steps, between which promises are resolved. */
  readonly runFor: (duration: Milliseconds) => Promise<void>;
  /** Submits a job as the entry does. */
  readonly submit: (
    entry: string,
    job: string,
    items: readonly JobItem[],
    homes?: readonly string[],
  ) => Submission;
  readonly propose: (
    daemon: string,
    id: string,
    command: Parameters<World['proposals']['append']>[0]['command'],
  ) => Promise<void>;
  readonly read: (entry: string, job: string, question: JobQuestion) => Promise<FinalAnswer>;
  /** Replaces the home regions of the job route. */
  readonly declareHomes: (homeRegions: readonly string[], version: number) => Promise<void>;
  readonly jobOf: (daemon: string, job: string) => JobRow | undefined;
  readonly holdersOf: (job: string) => readonly string[];
}

export interface ContentFleetOptions {
  readonly onDidSendMessage?: (from: string, to: string, message: Message) => void;
  readonly isLost?: NonNullable<VirtualOptions['isLost']>;
}

/** Lets the promises that were resolved meanwhile go on. */
const runPromises = async (): Promise<void> => {
  for (let turn = 0; turn < promiseTurns; turn += 1) await Promise.resolve();
};

/** An item whose body is this text. */
export const itemWithBody = (item: string, body: string): JobItem => ({
  ...testItem(item),
  body: new Uint8Array(Buffer.from(body)),
});

const declarationCommand = (homeRegions: readonly string[], version: number) => {
  const declaration = testDeclaration(version);
  return {
    ...testDeclarationCommand(version),
    declaration: {
      ...declaration,
      routes: declaration.routes.map((route) =>
        route.name === 'plan'
          ? { ...route, homeRegions: [...homeRegions], itemLifetimeMilliseconds: null }
          : route,
      ),
    },
  };
};

/** Creates the installation, with a declaration whose job route has the home region. */
export const createContentFleet = async (
  options: ContentFleetOptions = {},
): Promise<ContentFleet> => {
  const contents = createVirtualContents();
  const installation = createVirtualInstallation({
    ...options,
    deployment: {
      ...createTestDeployment(daemonCount, controlCount),
      discovery: Discovery.Announced,
    },
    tree: createTestTree(),
    seed: 1,
    profile: Profile.Declaration,
    fleet: {
      ...defaultFleetSettings,
      voterCount,
      places: {
        ...defaultPlaceSettings,
        regionByZone: { z1: 'r1', z2: 'r1', z3: 'r2' },
        toleratedZoneLosses: 1,
      },
    },
    ports: [contents.createPort],
  });
  const worldOf = (daemon: string): World => installation.daemon(daemon).core.world;

  const runFor = async (duration: Milliseconds): Promise<void> => {
    const step = duration > longMilliseconds ? longStepMilliseconds : stepMilliseconds;
    for (let elapsed = 0; elapsed < duration; elapsed += step) {
      installation.runFor(step);
      await runPromises();
    }
  };

  const leader = (): string =>
    installation.runningNames().find((name) => canActAsLeader(worldOf(name), installation.now()))!;

  const propose: ContentFleet['propose'] = async (daemon, id, command) => {
    const proposalDeadline = installation.now() + proposalMilliseconds;
    worldOf(daemon).proposals.append({ id: asBrand(id), command, proposalDeadline });
    installation.wake(daemon);
    await runFor(200);
  };

  const submit: ContentFleet['submit'] = (entry, job, items, homes = [homeRegion]) => {
    const { contents: port, proposals } = contents.portsOf(entry);
    let outcome: SubmissionOutcome = 'pending';
    void port.storeJob(testJob(job, items), homes, proposalMilliseconds).then(async (command) => {
      if (command === undefined) outcome = 'refused';
      else {
        const proposed = await proposals.propose(`job/${job}`, command, proposalMilliseconds);
        outcome = proposed.kind;
      }
    });
    return { outcome: () => outcome };
  };

  const read: ContentFleet['read'] = async (entry, job, question) => {
    let answer: FinalAnswer | undefined;
    void contents
      .portsOf(entry)
      .reads.read({ job, workspace: 'yard', question, remaining: readMilliseconds })
      .then((given) => {
        answer = given;
      });
    await runFor(readMilliseconds + stepMilliseconds);
    return answer!;
  };

  const jobOf = (daemon: string, job: string): JobRow | undefined =>
    worldOf(daemon).jobs.get(asBrand(job));

  await runFor(settleMilliseconds);
  await propose('d1', 'declare-1', declarationCommand([homeRegion], 1));
  return {
    installation,
    contents,
    worldOf,
    leader,
    runFor,
    submit,
    propose,
    read,
    declareHomes: (homeRegions, version) =>
      propose(leader(), `declare-${version}`, declarationCommand(homeRegions, version)),
    jobOf,
    holdersOf: (job) => jobOf(leader(), job)?.holders ?? [],
  };
};
