/**
 * Guards against a call that ends the workers that run it: callers send it again under new request
 * identifiers to any daemon, and workers come back under new identifiers.
 */
import test from 'ava';
import { submitCall, WorkerOutcome } from '../../../../../standins/virtual/virtualWorkers.js';
import { EventKind } from '../../../events/common/eventKind.js';
import { CallRefusalKind } from '../../../forwarding/common/callRefusal.js';
import { ProcessEvidence } from '../../common/quarantineTables.js';
import {
  contactMilliseconds,
  countLateRuns,
  createFleet,
  listSubjects,
  poisonFingerprint,
  processEndThreshold,
  readCall,
  readRecord,
  sendRepeatedly,
  type Fleet,
} from './crashFixture.js';

const retries = 40;
/** Processes that may end before all daemons know: the third, and those of calls under way. */
const maximumEnds = processEndThreshold + 2;
const evidenceMilliseconds = 10_000;
const quarantineMilliseconds = 600_000;

const listEvidence = (fleet: Fleet): string[] =>
  listSubjects(fleet, EventKind.ProcessEndRecorded).map(({ evidence }) => String(evidence));

test('a call under which three processes ended reaches no worker after the contact time', (t) => {
  const fleet = createFleet();
  sendRepeatedly(fleet, retries);
  t.log(
    `${fleet.workers.ends().length} ended, ${countLateRuns(fleet)} runs after the contact time`,
  );
  t.is(countLateRuns(fleet), 0);
  t.true(fleet.workers.ends().length <= maximumEnds);
  t.true(listEvidence(fleet).every((kind) => kind === ProcessEvidence.ConnectionRefused));
});

test('every daemon refuses a quarantined call as not run, with the time until it expires', (t) => {
  const fleet = createFleet();
  sendRepeatedly(fleet, 12);
  const runs = fleet.workers.runs().length;
  fleet.installation.runningNames().forEach((name) => {
    submitCall(fleet.installation, name, `again-${name}`, 'poison');
    const refusal = readCall(fleet, name, `again-${name}`)?.refusal;
    t.is(refusal?.kind, CallRefusalKind.Quarantined);
    t.true(refusal?.isNotRun);
    const remaining = refusal?.retryMilliseconds ?? 0;
    t.true(remaining > quarantineMilliseconds - 30_000 && remaining <= quarantineMilliseconds);
  });
  t.is(fleet.workers.runs().length, runs);
});

test('a call whose own runs ended processes is told that it may have run', (t) => {
  const fleet = createFleet();
  submitCall(fleet.installation, 'd5', 'poison-own', 'poison');
  fleet.installation.runFor(500);
  const refusal = readCall(fleet, 'd5', 'poison-own')?.refusal;
  t.is(refusal?.kind, CallRefusalKind.UpstreamFailed);
  t.false(refusal?.isNotRun);
});

test('calls with other content are answered while one is quarantined', (t) => {
  const fleet = createFleet();
  sendRepeatedly(fleet, 12);
  fleet.installation.runFor(contactMilliseconds);
  submitCall(fleet.installation, 'd6', 'other', 'other-content');
  fleet.installation.runFor(200);
  t.is(readCall(fleet, 'd6', 'other')?.state, 'answered');
});

test('answers that live workers cut quarantine nothing, and cost one probe a broken send', (t) => {
  const fleet = createFleet();
  fleet.workers.setOutcomeSelector(() => WorkerOutcome.Cut);
  sendRepeatedly(fleet, retries);
  fleet.installation.runFor(evidenceMilliseconds);
  t.deepEqual(listEvidence(fleet), []);
  t.is(readRecord(fleet, 'd1'), undefined);
  t.true(fleet.workers.runs().length >= retries);
  t.true(fleet.workers.probes().length <= fleet.workers.runs().length);
  fleet.installation
    .runningNames()
    .forEach((name) => t.is(fleet.installation.daemon(name).core.world.suspicions.size(), 0));
});

test('runs that a leaving worker breaks off count as planned', (t) => {
  const fleet = createFleet();
  submitCall(fleet.installation, 'd5', 'poison-0', 'poison');
  fleet.installation.runFor(5);
  fleet.workers.announceDepartures(fleet.installation, 'd1');
  fleet.installation.runFor(evidenceMilliseconds);
  t.true(fleet.workers.ends().length > 0);
  t.is(readRecord(fleet, 'd5'), undefined);
});

test('processes that are back before a probe count by their later start', (t) => {
  const fleet = createFleet({ returnMilliseconds: 10 });
  sendRepeatedly(fleet, retries);
  t.is(countLateRuns(fleet), 0);
  t.true(listEvidence(fleet).includes(ProcessEvidence.LaterStart));
});

test('a call that is answered between process ends is not quarantined', (t) => {
  const fleet = createFleet();
  Array.from({ length: 6 }, () => {
    sendRepeatedly(fleet, 1);
    return sendRepeatedly(fleet, 1, 'answered');
  });
  t.true(fleet.workers.ends().length > processEndThreshold);
  t.is(listSubjects(fleet, EventKind.RequestQuarantined).length, 0);
  t.true(listSubjects(fleet, EventKind.CrashesExcused).length > 0);
});

test('calls that ran beside the cause of a crash and are answered at once cost no messages', (t) => {
  let messages = 0;
  const fleet = createFleet({
    runMilliseconds: 150,
    onDidSendMessage: (_from, _to, { kind }) => {
      if (kind === 'crashesReported') messages += 1;
    },
  });
  const endedUnder = new Set<string>();
  fleet.workers.setOutcomeSelector((requestId) => {
    const isFirstRun = !endedUnder.has(requestId);
    endedUnder.add(requestId);
    return isFirstRun ? WorkerOutcome.End : WorkerOutcome.Answer;
  });
  Array.from({ length: 5 }, (_, index) =>
    submitCall(fleet.installation, 'd5', `call-${index}`, `content-${index}`),
  );
  fleet.installation.runFor(contactMilliseconds);
  t.true(listEvidence(fleet).length > 0);
  t.is(messages, 0);
  t.is(fleet.installation.daemon('d5').core.world.crashRecords.size(), 0);
});

test('a daemon that restarts refuses a quarantined call soon after it serves again', (t) => {
  const fleet = createFleet();
  sendRepeatedly(fleet, 12);
  ['d5', 'd2'].forEach((name) => {
    fleet.installation.stop(name);
    fleet.installation.runFor(1_000);
    fleet.installation.start(name);
    fleet.installation.runFor(contactMilliseconds);
    t.true(readRecord(fleet, name)?.isQuarantined, name);
  });
  sendRepeatedly(fleet, 12);
  t.is(countLateRuns(fleet), 0);
});

test('a daemon that was out of touch learns what was quarantined meanwhile', (t) => {
  const fleet = createFleet();
  const others = fleet.installation.runningNames().filter((name) => name !== 'd6');
  others.forEach((name) => fleet.installation.cut('d6', name));
  fleet.installation.runFor(6_000);
  Array.from({ length: 4 }, (_, index) => {
    submitCall(fleet.installation, 'd4', `poison-${index}`, 'poison');
    return fleet.installation.runFor(700);
  });
  t.is(readRecord(fleet, 'd6'), undefined);
  others.forEach((name) => fleet.installation.heal('d6', name));
  fleet.installation.runFor(contactMilliseconds);
  t.true(readRecord(fleet, 'd6')?.isQuarantined);
});

test('daemons exchange nothing about crashes while they agree', (t) => {
  const fleet = createFleet();
  sendRepeatedly(fleet, 12);
  fleet.installation.runFor(contactMilliseconds);
  fleet.installation.runningNames().forEach((name) => {
    const { world } = fleet.installation.daemon(name).core;
    t.is(world.crashReceivers.earliestDeadline(), Number.POSITIVE_INFINITY, name);
    t.deepEqual(readRecord(fleet, name)?.ends.toSorted(), readRecord(fleet, 'd1')?.ends.toSorted());
  });
});

test('events lead from the refusal to the runs under which processes ended', (t) => {
  const fleet = createFleet();
  sendRepeatedly(fleet, 12);
  const [refused] = listSubjects(fleet, EventKind.CallRefused).filter(
    ({ refusal }) => refusal === CallRefusalKind.Quarantined,
  );
  t.is(refused?.fingerprint, poisonFingerprint);
  const quarantined = listSubjects(fleet, EventKind.RequestQuarantined).find(
    ({ fingerprint }) => fingerprint === refused?.fingerprint,
  );
  const recorded = listSubjects(fleet, EventKind.ProcessEndRecorded).filter(
    ({ upstream, startedAt }) =>
      String(quarantined?.ends).split(',').includes(`${upstream}@${startedAt}`),
  );
  t.true(recorded.length >= processEndThreshold);
  const broken = listSubjects(fleet, EventKind.SendEnded).filter(
    ({ outcome }) => outcome === 'broken',
  );
  recorded.forEach(({ request, upstream }) =>
    t.true(broken.some((send) => send.request === request && send.upstream === upstream)),
  );
});
