/**
 * Guards against elections and starts whose lines don't tell what they rested on.
 */
import test from 'ava';
import { createAnnouncedInstallation } from '../../../../../standins/virtual/announcedInstallation.js';
import { type VirtualInstallation } from '../../../../../standins/virtual/virtualInstallation.js';
import { EventKind } from '../../../events/common/eventKind.js';

const voters = ['d1', 'd2', 'd3'];

const createInstallation = (founders = voters): VirtualInstallation =>
  createAnnouncedInstallation({
    daemonCount: 3,
    voterCount: 3,
    seed: 1,
    voters: (name, incarnation) => (founders.includes(name) && incarnation === 1 ? voters : []),
  });

const lastSubject = (installation: VirtualInstallation, kind: EventKind) =>
  installation.events().findLast((event) => event.kind === kind)!.subject;

test('the line of a new leader names the votes that elected it', (t) => {
  const installation = createInstallation();
  installation.runFor(5_000);
  const first = lastSubject(installation, EventKind.LeadershipTaken);
  t.is(first.electedBy, 'quorum');
  t.is(first.term, 1);
  t.regex(String(first.votes), /^d1=(full|none),d2=(full|none),d3=(full|none)$/);
});

test('the line of a new leader says that it needed the votes of all', (t) => {
  const installation = createInstallation(['d3']);
  installation.runFor(10_000);
  const first = lastSubject(installation, EventKind.LeadershipTaken);
  t.is(first.electedBy, 'all');
  t.is(first.votes, 'd1=conditional,d2=conditional,d3=full');
});

test('the line of a start says what the disk held', (t) => {
  const installation = createInstallation();
  installation.runFor(5_000);
  const first = lastSubject(installation, EventKind.StorageRecovered);
  t.like(first, { isEmpty: true, knewVoters: true, hadJoined: false, hasJoined: true });
  installation.stop('d1');
  installation.start('d1');
  installation.runFor(10);
  const kept = lastSubject(installation, EventKind.StorageRecovered);
  t.like(kept, { isEmpty: false, knewVoters: false, hadJoined: true, hasJoined: true });
  t.is(kept.voters, 'd1,d2,d3');
  installation.stop('d1');
  installation.disk('d1').clear();
  installation.start('d1');
  installation.runFor(10);
  const lost = lastSubject(installation, EventKind.StorageRecovered);
  t.like(lost, { isEmpty: true, knewVoters: false, hadJoined: false, hasJoined: false });
  t.like(lost, { state: 'learner', voters: '' });
});
