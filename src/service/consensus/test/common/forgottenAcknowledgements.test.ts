/**
 * Guards against counting the vote of a voter that has not joined because its log is as long as the
 * candidate's. A voter that lost its disk may have accepted an entry that neither holds now: the
 * leader accepted it with that voter while the candidate was cut off. The candidate then fills the
 * log of the emptied voter with its own, so their equal length tells nothing about the entry.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { leaderOf, versionAt, worldOf } from '../../../../../standins/virtual/inspection.js';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { createControlHistory } from '../../../../../standins/virtual/controlHistory.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import type { VirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import { EventKind } from '../../../events/common/eventKind.js';
import { replicaOf } from '../../common/replicaLog.js';
import { ReplicaState } from '../../common/replicaTables.js';
import { VoteAnswer } from '../../common/voteRefusal.js';

const stores = ['d1', 'd2', 'd3'];
const entry = 'd4';
const settleMilliseconds = 6_000;
const acceptanceMilliseconds = 2_000;
/** `recoveryS` of the users' requirements. */
const recoveryMilliseconds = 12_000;
const latencyMilliseconds = 2;

const declare = (installation: VirtualInstallation, name: string, version: number): void => {
  worldOf(installation, name).proposals.append({
    id: asBrand(`declare-${version}`),
    command: testDeclarationCommand(version),
    proposalDeadline: installation.now() + acceptanceMilliseconds,
  });
  installation.wake(name);
  installation.runFor(acceptanceMilliseconds);
};

[1, 2, 3, 4, 5].forEach((seed) => {
  test(`an emptied voter whose log is as long as the candidate's does not elect it, seed ${seed}`, (t) => {
    let created: VirtualInstallation | undefined;
    const history = createControlHistory(() => created);
    const emptied = new Set<string>();
    const installation = createAnnouncedInstallation({
      daemonCount: stores.length + 1,
      controlCount: stores.length,
      voterCount: stores.length,
      seed,
      voters: (name) => (stores.includes(name) && !emptied.has(name) ? stores : []),
      latency: () => latencyMilliseconds,
      ports: [history.createPort],
    });
    created = installation;
    installation.runFor(settleMilliseconds);
    const leader = leaderOf(installation)!;
    const [candidate, lost] = stores.filter((name) => name !== leader) as [string, string];
    declare(installation, leader, 1);

    // Version 2 is accepted by the leader and the voter whose disk is lost right after.
    [leader, lost, entry].forEach((other) => installation.cut(candidate, other));
    declare(installation, leader, 2);
    t.is(versionAt(installation, entry), 2);
    installation.stop(lost);
    installation.disk(lost).clear();
    emptied.add(lost);
    installation.stop(leader);
    [leader, lost, entry].forEach((other) => installation.heal(candidate, other));
    installation.start(lost);
    installation.runFor(recoveryMilliseconds);

    // Only the disk of the leader holds version 2, and both logs here are equally long.
    const candidateReplica = replicaOf(worldOf(installation, candidate));
    const lostReplica = replicaOf(worldOf(installation, lost));
    t.true(candidateReplica.hasJoined);
    t.false(lostReplica.hasJoined);
    t.is(lostReplica.lastIndex, candidateReplica.lastIndex);
    t.is(lostReplica.lastTerm, candidateReplica.lastTerm);
    t.is(candidateReplica.state, ReplicaState.PreCandidate);
    const answer = worldOf(installation, candidate).members.get(asBrand(lost))?.voteAnswer;
    t.is(answer, VoteAnswer.Conditional);
    t.is(installation.events().filter(({ kind }) => kind === EventKind.LeadershipTaken).length, 1);

    installation.start(leader);
    installation.runFor(recoveryMilliseconds);
    t.deepEqual(history.violations(), []);
    t.not(leaderOf(installation), undefined);
    [...stores, entry].forEach((name) => t.is(versionAt(installation, name), 2));
  });
});
