/**
 * Guards against a voter whose log ends with an entry of a later term than its own.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import type { Message } from '../../../messages/common/message.js';
import { createEchoedInstant } from '../../../world/common/echoedInstant.js';
import type { DaemonId } from '../../../world/common/identifiers.js';
import { replicaOf } from '../../common/replicaLog.js';
import {
  entry,
  followerOf,
  leaderOf,
  openSnapshotFixture,
  voters,
  worldOf,
} from './snapshotFixture.js';

test('a voter that installs a snapshot of a later term keeps its earlier term', (t) => {
  let lagging: string | undefined;
  let isInjected = false;
  const answers: Message[] = [];
  const fixture = openSnapshotFixture({
    seed: 15,
    onDidSend: (_installation, from, message) => {
      if (from === lagging && isInjected && message.kind === 'appendAnswered')
        answers.push(message);
    },
    // Entries, and with them the term, arrive later than the parts; e.g. by another connection.
    isLost: (_from, to, { kind }) =>
      to === lagging &&
      ((kind === 'entriesAppended' && !isInjected) ||
        kind === 'voteRequested' ||
        kind === 'voteAnswered'),
  });
  const { installation } = fixture;
  fixture.change(entry, 5);
  const former = leaderOf(fixture)!;
  const cut = followerOf(fixture);
  [...voters, entry].filter((name) => name !== cut).forEach((name) => installation.cut(cut, name));
  installation.stop(former);
  installation.start(former);
  installation.runFor(12_000);
  fixture.change(entry, 40);
  lagging = cut;
  [...voters, entry].filter((name) => name !== cut).forEach((name) => installation.heal(cut, name));
  installation.runFor(3_000);
  const { term, lastTerm, lastIndex, state } = replicaOf(worldOf(fixture, cut));
  t.log({ term, lastTerm, lastIndex, state, leader: leaderOf(fixture) });
  // What a leader of term 1 that the others have replaced may still send: its view of this voter is empty.
  isInjected = true;
  const formerWorld = worldOf(fixture, former);
  formerWorld.outgoingMessages.append({
    to: asBrand<DaemonId>(cut),
    message: {
      kind: 'entriesAppended',
      term: 1,
      previousIndex: 0,
      previousTerm: 0,
      entries: [],
      commitIndex: 0,
      renewal: createEchoedInstant(formerWorld, installation.now()),
      currentAsOf: null,
    },
  });
  installation.wake(former);
  installation.runFor(100);
  t.log(answers);
  const wrong = answers.filter(
    (answer) =>
      answer.kind === 'appendAnswered' &&
      answer.accepted &&
      answer.term === 1 &&
      answer.matchIndex > 0,
  );
  t.is(wrong.length, 0, 'acknowledged entries of term 2 to a leader of term 1');
  t.true(lastTerm <= term);
});
