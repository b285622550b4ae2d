/**
 * Guards against an installation without a leader, or a daemon without a declaration, whose cause
 * cannot be read from the log of any one daemon.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import {
  type VirtualEvent,
  type VirtualInstallation,
  type VirtualOptions,
} from '../../../../../standins/virtual/virtualInstallation.js';
import { maximumFailoverMilliseconds } from '../../../consensus/common/consensusTiming.js';
import { replicaOf } from '../../../consensus/common/replicaLog.js';
import { countVoteAnswers } from '../../../consensus/common/votes.js';
import { EventKind } from '../../../events/common/eventKind.js';
import { reportIntervalMilliseconds } from '../../common/absenceSystem.js';
import { AbsenceKind, computeMissingMilliseconds } from '../../common/absenceTables.js';

const voters = ['d1', 'd2', 'd3'];
const entry = 'd4';
const names = [...voters, entry];
const settleMilliseconds = 6_000;

const createInstallation = (options: Partial<VirtualOptions> = {}): VirtualInstallation =>
  createAnnouncedInstallation({
    daemonCount: names.length,
    controlCount: voters.length,
    voterCount: voters.length,
    seed: 1,
    voters: () => voters,
    ...options,
  });

const declare = (installation: VirtualInstallation, name: string): void => {
  installation.daemon(name).core.world.proposals.append({
    id: asBrand('declare-1'),
    command: testDeclarationCommand(1),
    proposalDeadline: installation.now() + settleMilliseconds,
  });
  installation.wake(name);
};

const createDeclared = (): VirtualInstallation => {
  const installation = createInstallation();
  installation.runFor(settleMilliseconds);
  declare(installation, 'd1');
  installation.runFor(settleMilliseconds);
  return installation;
};

const eventsOf = (
  installation: VirtualInstallation,
  process: string,
  kind: EventKind,
): VirtualEvent[] =>
  installation.events().filter((event) => event.process === process && event.kind === kind);

const missingTimeOf = (
  installation: VirtualInstallation,
  name: string,
  kind: AbsenceKind,
): number => {
  const { core, clockOrigin } = installation.daemon(name);
  return computeMissingMilliseconds(core.world, kind, installation.now() - clockOrigin);
};

const cutFromAll = (installation: VirtualInstallation, name: string): void =>
  names.filter((other) => other !== name).forEach((other) => installation.cut(name, other));

const healToAll = (installation: VirtualInstallation, name: string): void =>
  names.filter((other) => other !== name).forEach((other) => installation.heal(name, other));

const leaderOf = (installation: VirtualInstallation): string =>
  replicaOf(installation.daemon(entry).core.world).leader!;

test('a voter without a quorum names the voters that do not answer', (t) => {
  const installation = createDeclared();
  installation.stop('d2');
  installation.stop('d3');
  installation.runFor(20_000);
  const [first, ...later] = eventsOf(installation, 'd1', EventKind.LeaderMissing);
  t.is(first!.subject.forMilliseconds, maximumFailoverMilliseconds);
  const last = later.at(-1)!.subject;
  t.like(last, { hasJoined: true, quorum: 2, granted: 0, unsyncedWrites: 0 });
  t.is(last.voters, 'd1=self,d2=noAnswer/suspected,d3=noAnswer/suspected');
  t.is(eventsOf(installation, 'd1', EventKind.LeaderFound).length, 0);
  t.true(missingTimeOf(installation, 'd1', AbsenceKind.Leader) > 15_000);
  t.is(countVoteAnswers(installation.daemon('d1').core.world, installation.now()), 0);
  installation.start('d2');
  installation.runFor(settleMilliseconds);
  const [found] = eventsOf(installation, 'd1', EventKind.LeaderFound);
  t.true(Number(found!.subject.missedForMilliseconds) > 15_000);
  t.regex(String(found!.subject.leader), /^d[12]$/);
  t.is(missingTimeOf(installation, 'd1', AbsenceKind.Leader), 0);
});

test('a voter names who has only a conditional vote, and an empty disk that it knows no voters', (t) => {
  const installation = createInstallation({
    voters: (name, incarnation) => (name === 'd2' && incarnation > 1 ? [] : voters),
  });
  installation.runFor(settleMilliseconds);
  voters.forEach((name) => installation.stop(name));
  installation.disk('d2').clear();
  installation.start('d2');
  installation.start('d3');
  installation.runFor(20_000);
  const holder = eventsOf(installation, 'd3', EventKind.LeaderMissing).at(-1)!.subject;
  t.is(holder.voters, 'd1=noAnswer/suspected,d2=conditional/alive,d3=self');
  t.like(holder, { quorum: 2, granted: 0, hasJoined: true });
  const atEntry = eventsOf(installation, entry, EventKind.ConfigurationMissing).at(-1)!.subject;
  // The time for which d2 has not joined is as old as the last request for votes.
  t.regex(
    String(atEntry.leaderAbsence),
    /^notJoined=1\/3 d2:0\/2,1\ds preCandidate d1=noAnswer\/suspected,d2=conditional\/alive,d3=self lastIndex=d2:0,d3:2$/,
    'the entry follows d3, or d2, which hears of it from d3',
  );
  const emptied = eventsOf(installation, 'd2', EventKind.LeaderMissing).at(-1)!.subject;
  t.like(emptied, { state: 'learner', hasJoined: false, quorum: 0, voters: '' });
});

test('a voter that another one refuses names the reason, also between two requests', (t) => {
  let isSilent = false;
  const installation = createInstallation({
    // So that the voter with the longer log is not elected.
    isLost: (from, _to, { kind }) => isSilent && from === 'd3' && kind === 'voteRequested',
  });
  installation.runFor(settleMilliseconds);
  voters.forEach((name) => installation.stop(name));
  isSilent = true;
  installation.disk('d2').clear();
  installation.start('d2');
  installation.start('d3');
  installation.runFor(30_000);
  const refused = eventsOf(installation, 'd2', EventKind.LeaderMissing);
  t.true(refused.length >= 5);
  refused.forEach(({ subject }) => {
    t.regex(String(subject.voters), /,d3=logBehind\/alive$/);
  });
});

test('reports have a bounded rate, also while a leader or a declaration comes and goes', (t) => {
  const installation = createDeclared();
  const start = installation.now();
  const cutMilliseconds = 4_100;
  for (let round = 0; round < 10; round += 1) {
    cutFromAll(installation, entry);
    installation.runFor(cutMilliseconds);
    healToAll(installation, entry);
    installation.runFor(800);
  }
  const reports = eventsOf(installation, entry, EventKind.ConfigurationMissing).filter(
    ({ at }) => at > start,
  );
  const ends = eventsOf(installation, entry, EventKind.ConfigurationFound).filter(
    ({ at }) => at > start,
  );

  t.true(reports.length >= 5);
  t.true(ends.length >= 4);
  t.true(ends.length <= reports.length);
  reports.slice(1).forEach(({ at }, position) => {
    t.true(at - reports[position]!.at >= reportIntervalMilliseconds);
  });
});

test('an entry tells that no desired state was ever sent from not hearing of one', (t) => {
  const installation = createInstallation();
  installation.runFor(settleMilliseconds);
  const [unsent] = eventsOf(installation, entry, EventKind.ConfigurationMissing);
  t.is(unsent!.subject.forMilliseconds, maximumFailoverMilliseconds);
  t.like(unsent!.subject, { declaration: 0, isLogCurrent: true, controlAlive: 3 });
  t.regex(String(unsent!.subject.leader), /^d[123]$/);
  declare(installation, 'd1');
  installation.runFor(settleMilliseconds);
  const [found] = eventsOf(installation, entry, EventKind.ConfigurationFound);
  t.is(found!.subject.declaration, 1);
  t.is(unsent!.subject.leaderAbsence, 'none');
  const reportsBefore = eventsOf(installation, entry, EventKind.ConfigurationMissing).length;
  cutFromAll(installation, entry);
  installation.runFor(12_000);
  const reports = eventsOf(installation, entry, EventKind.ConfigurationMissing);
  const last = reports.at(-1)!.subject;
  t.is(reports.length, reportsBefore + 2);
  t.like(last, { declaration: 1, isLogCurrent: false, controlKnown: 3, controlSuspected: 3 });
  t.true(Number(last.heardMillisecondsAgo) > 4_000);
  t.is(missingTimeOf(installation, entry, AbsenceKind.Leader), 0);
});

test('an entry that is started without a leader says that none is known', (t) => {
  const installation = createInstallation({ initiallyStopped: ['d2', 'd3'] });
  installation.runFor(settleMilliseconds);
  const last = eventsOf(installation, entry, EventKind.ConfigurationMissing).at(-1)!.subject;
  t.like(last, { declaration: 0, isLogCurrent: false, leader: 'none' });
  t.is(last.currentMillisecondsAgo, null);
});

test('a voter whose disk does not sync says so', (t) => {
  const installation = createInstallation({ syncDelay: 60_000 });
  installation.runFor(10_000);
  const last = eventsOf(installation, 'd1', EventKind.LeaderMissing).at(-1)!.subject;
  t.true(Number(last.unsyncedWrites) > 0);
  const atEntry = eventsOf(installation, entry, EventKind.ConfigurationMissing).at(-1)!.subject;
  t.regex(String(atEntry.leaderAbsence), /^preCandidate .* unsyncedWrites=1$/);
});

test('a change of leaders and a restart are no absence', (t) => {
  const installation = createDeclared();
  const isReport = ({ kind }: VirtualEvent): boolean =>
    kind === EventKind.LeaderMissing || kind === EventKind.ConfigurationMissing;
  const start = installation.now();
  const leader = leaderOf(installation);
  installation.stop(leader);
  installation.runFor(500);
  installation.start(leader);
  installation.runFor(20_000);
  const reports = installation.events().filter((event) => event.at > start && isReport(event));
  t.deepEqual(reports, []);
});
