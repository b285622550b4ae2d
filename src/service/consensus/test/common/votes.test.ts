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
import { minimumElectionTimeoutMilliseconds } from '../../common/consensusTiming.js';

const term = 5;
const syncMilliseconds = 50;

/** Three voters of which only `d3` runs; tests inject the vote requests. */
const createInstallation = (): VirtualInstallation =>
  createVirtualInstallation({
    deployment: { ...createTestDeployment(3, 3), discovery: Discovery.Announced },
    tree: createTestTree(),
    seed: 3,
    profile: Profile.Declaration,
    fleet: { ...defaultFleetSettings, voterCount: 3 },
    initiallyStopped: ['d1', 'd2'],
    voters: () => ['d1', 'd2', 'd3'],
  });

/** Requests a vote for a candidate with an empty log; returns the reason for refusal, or `none`. */
const requestVote = (installation: VirtualInstallation, candidate: string): unknown => {
  const { world } = installation.daemon('d3').core;
  world.incomingMessages.append({
    from: asBrand(candidate),
    message: {
      kind: 'voteRequested',
      term,
      isPreVote: false,
      lastIndex: 0,
      lastTerm: 0,
    },
  });
  installation.wake('d3');
  installation.runFor(syncMilliseconds);
  return installation.events().findLast(({ kind }) => kind === 'voteDecided')?.subject.refusal;
};

test('a voter grants one vote per term', (t) => {
  const installation = createInstallation();
  t.is(requestVote(installation, 'd1'), 'none');
  t.is(requestVote(installation, 'd2'), 'votedForAnother');
  t.is(requestVote(installation, 'd1'), 'none', 'it grants the vote again to the same candidate');
});

test('a voter keeps its vote across a restart, and refuses all votes at first', (t) => {
  const installation = createInstallation();
  t.is(requestVote(installation, 'd1'), 'none');
  installation.stop('d3');
  installation.start('d3');
  t.is(requestVote(installation, 'd1'), 'keepsToLeader');
  installation.runFor(minimumElectionTimeoutMilliseconds - syncMilliseconds);
  t.is(requestVote(installation, 'd2'), 'votedForAnother');
  t.is(requestVote(installation, 'd1'), 'none');
});
