/**
 * Guards against reports of a missing leader or declaration that no filter by level finds.
 */
import test from 'ava';
import { pino } from 'pino';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { EventKind } from '../../../../service/events/common/eventKind.js';
import { createEventLog } from '../../node/eventLog.js';

const informationLevel = 30;
const warningLevel = 40;

test('reports of what is missing are warnings, other events are information', (t) => {
  const { world, now } = createFleetCore();
  const lines: string[] = [];
  const log = pino({ level: 'info' }, { write: (line: string) => lines.push(line) });
  const events = createEventLog(world, log, now, () => 0);
  world.events.takeAll();
  const kinds = [
    EventKind.LeaderMissing,
    EventKind.ConfigurationMissing,
    EventKind.NotJoined,
    EventKind.VoterLagging,
    EventKind.SnapshotRefused,
    EventKind.StorageFailed,
    EventKind.LeaderFound,
    EventKind.ConfigurationFound,
    EventKind.Joined,
    EventKind.VoterCaughtUp,
    EventKind.SnapshotInstalled,
    EventKind.SnapshotAbandoned,
  ];
  kinds.forEach((kind) => world.events.append({ kind, subject: {} }));
  events.drain();
  t.deepEqual(
    lines.map((line) => (JSON.parse(line) as { level: number }).level),
    [...Array<number>(6).fill(warningLevel), ...Array<number>(6).fill(informationLevel)],
  );
});
