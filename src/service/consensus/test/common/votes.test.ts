import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { Discovery } from '../../../../infrastructure/settings/common/deployment.js';
import { defaultFleetSettings } from '../../../../infrastructure/settings/common/fleetSettings.js';
import {
  createTestDeployment,
  createTestTree,
} from '../../../../../standins/virtual/testDeployment.js';
import {
  createVirtualInstallation,
  type VirtualInstallation,
} from '../../../../../standins/virtual/virtualInstallation.js';
import { Profile } from '../../../core/common/core.js';
import { electionMinimumMilliseconds } from '../../common/consensusTiming.js';

const term = 5;
const syncMilliseconds = 50;

/** One voter of three, asked for its vote by hand. */
const create = (): VirtualInstallation =>
  createVirtualInstallation({
    deployment: { ...createTestDeployment(3, 3), discovery: Discovery.Announced },
    tree: createTestTree(),
    seed: 3,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: 3 },
    notStarted: ['d1', 'd2'],
    voters: () => ['d1', 'd2', 'd3'],
  });

/** What the voter answers a candidate whose log is as empty as its own: why it refuses, or none. */
const ask = (installation: VirtualInstallation, candidate: string): unknown => {
  const { world } = installation.daemon('d3').core;
  world.incomingMessages.append({
    from: asBrand(candidate),
    message: {
      kind: 'voteRequested',
      term,
      isPreVote: false,
      isNew: true,
      lastIndex: 0,
      lastTerm: 0,
    },
  });
  installation.wake('d3');
  installation.runFor(syncMilliseconds);
  return installation.events().findLast(({ kind }) => kind === 'voteDecided')?.subject.refusal;
};

test('a voter votes once in a term', (t) => {
  const installation = create();
  t.is(ask(installation, 'd1'), 'none');
  t.is(ask(installation, 'd2'), 'votedForAnother');
  t.is(ask(installation, 'd1'), 'none', 'it repeats its vote for the same candidate');
});

test('a voter remembers its vote over a restart, and refuses all votes at first', (t) => {
  const installation = create();
  t.is(ask(installation, 'd1'), 'none');
  installation.stop('d3');
  installation.start('d3');
  t.is(ask(installation, 'd1'), 'keepsToLeader');
  installation.runFor(electionMinimumMilliseconds - syncMilliseconds);
  t.is(ask(installation, 'd2'), 'votedForAnother');
  t.is(ask(installation, 'd1'), 'none');
});
