/**
 * Guards against an installation that never starts because one of its initial voters is lost while
 * the first leader is elected.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import type { ValueOf } from '../../../../base/common/handlers.js';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { createControlHistory } from '../../../../../standins/virtual/controlHistory.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import {
  createVirtualInstallation,
  type VirtualInstallation,
} from '../../../../../standins/virtual/virtualInstallation.js';
import { declarationId } from '../../../declaration/common/declarationTables.js';

const initialVoters = ['d1', 'd2', 'd3'];
const successor = 'd4';
const entry = 'd5';

/** How an initial voter is lost. */
const Loss = {
  /** It returns at its address with an empty disk, or without having stored the voters. */
  Emptied: 'emptied',
  /** It never returns; an empty daemon starts at another address. */
  Replaced: 'replaced',
  /** It never returns, and nothing replaces it. */
  Gone: 'gone',
} as const;
type Loss = ValueOf<typeof Loss>;

const absenceMilliseconds = 1_000;
/** `recoveryS` of the users' requirements. */
const recoveryMilliseconds = 12_000;
/** Up to the time within which voters of a new installation have requested votes. */
const lossMoments = [0, 40, 80, 120, 160, 200, 250, 300, 350, 400, 500, 600];
const latencyMilliseconds = 2;

const returnOf: Readonly<Record<Loss, (installation: VirtualInstallation, name: string) => void>> =
  {
    emptied: (installation, name) => installation.start(name),
    replaced: (installation) => installation.start(successor),
    gone: () => {},
  };

const declare = (installation: VirtualInstallation, name: string): void => {
  installation.daemon(name).core.world.proposals.append({
    id: asBrand('declare-1'),
    command: testDeclarationCommand(1),
    proposalDeadline: installation.now() + recoveryMilliseconds,
  });
  installation.wake(name);
};

/** Returns the violated invariants; empty if the change is accepted and known to the entry. */
const runLoss = (loss: Loss, lost: string, moment: number, seed: number): readonly string[] => {
  let created: VirtualInstallation | undefined;
  const history = createControlHistory(() => created);
  const installation = createAnnouncedInstallation({
    daemonCount: 5,
    controlCount: 4,
    voterCount: 3,
    seed,
    initiallyStopped: [successor],
    voters: (name, incarnation) =>
      name === entry || (initialVoters.includes(name) && incarnation === 1) ? initialVoters : [],
    latency: () => latencyMilliseconds,
    ports: [history.createPort],
  });
  created = installation;
  installation.runFor(moment);
  installation.stop(lost);
  installation.disk(lost).clear();
  installation.runFor(absenceMilliseconds);
  returnOf[loss](installation, lost);
  const proposer = initialVoters.find((name) => name !== lost)!;
  declare(installation, proposer);
  installation.runFor(recoveryMilliseconds);
  const { world } = installation.daemon(entry).core;
  const version = world.declarations.get(declarationId)?.version ?? 0;
  return [
    ...history.violations(),
    ...(version === 1 ? [] : [`${lost} lost after ${moment} ms: the entry holds ${version}`]),
  ];
};

Object.values(Loss).forEach((loss) => {
  [1, 2, 3].forEach((seed) => {
    test(`an installation starts although an initial voter is ${loss} during the first election, seed ${seed}`, (t) => {
      const violations = lossMoments.flatMap((moment, position) =>
        runLoss(loss, initialVoters[position % initialVoters.length]!, moment, seed),
      );
      t.deepEqual(violations, []);
    });
  });
});

const hasTakenLead = (installation: VirtualInstallation): string | undefined =>
  installation.events().find(({ kind }) => kind === 'leadershipTaken')?.process;

[1, 2, 3, 4, 5].forEach((seed) => {
  test(`listed voters elect another leader if the first one is lost at once, seed ${seed}`, (t) => {
    const installation = createVirtualInstallation({
      deployment: createTestDeployment(3, 3),
      tree: createTestTree(),
      seed,
      latency: () => latencyMilliseconds,
    });
    while (hasTakenLead(installation) === undefined) installation.runFor(1);
    const first = hasTakenLead(installation)!;
    installation.stop(first);
    installation.runFor(recoveryMilliseconds);
    const leaders = installation
      .events()
      .filter(({ kind, process }) => kind === 'leadershipTaken' && process !== first);
    t.true(leaders.length > 0);
  });
});

test('an installation starts although all initial voters end before they have stored who votes', (t) => {
  const installation = createAnnouncedInstallation({
    daemonCount: 3,
    voterCount: 3,
    seed: 1,
    voters: () => [],
    latency: () => latencyMilliseconds,
  });
  installation.runFor(recoveryMilliseconds);
  t.not(hasTakenLead(installation), undefined);
});
