/**
 * Guards the memory of the quarantine under a flood of different requests, and a daemon against
 * records that no daemon of this version sends.
 */
import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import type { DaemonId } from '../../../world/common/identifiers.js';
import { isQuarantined, recordProcessEnd } from '../../common/crashRecords.js';
import type { Fingerprint } from '../../common/fingerprint.js';
import {
  SuspicionCause,
  type ProcessEnd,
  type UpstreamProcess,
} from '../../common/quarantineTables.js';
import { suspectRun } from '../../common/suspicions.js';

const flood = 6_000;
const maximumSuspicions = 2_000;
const maximumRecords = 2_048;
const quarantineMilliseconds = 600_000;
const fingerprint = asBrand<Fingerprint>('yard|poison');

const processOf = (index: number): UpstreamProcess => ({
  upstream: asBrand(`u${index}`),
  address: `127.0.0.1:${1 + (index % 60_000)}`,
  startedAt: index,
});

const suspect = (core: FleetCore, index: number): void =>
  suspectRun(
    core.world,
    {
      fingerprint: asBrand<Fingerprint>(`yard|${index}`),
      request: `r${index}`,
      process: processOf(index),
      cause: SuspicionCause.Broken,
      reason: 'ECONNRESET',
    },
    core.now(),
  );

const recordEnd = (core: FleetCore, id: Fingerprint, end: string): void =>
  recordProcessEnd(core.world, id, asBrand<ProcessEnd>(end), core.now());

const quarantine = (core: FleetCore): void => {
  ['a', 'b', 'c'].forEach((end) => recordEnd(core, fingerprint, end));
  core.settle();
};

test('a flood of broken runs keeps a bounded number of suspicions', (t) => {
  const core = createFleetCore();
  Array.from({ length: flood }, (_, index) => suspect(core, index));
  t.is(core.world.suspicions.size(), maximumSuspicions);
  t.true(core.world.suspicions.count('upstream', `u${flood - 1}`) === 1);
});

test('a flood of crashes of other requests does not push out a quarantined one', (t) => {
  const core = createFleetCore();
  quarantine(core);
  Array.from({ length: flood }, (_, index) =>
    recordEnd(core, asBrand<Fingerprint>(`yard|${index}`), `end-${index}`),
  );
  core.settle();
  t.is(core.world.crashRecords.size(), maximumRecords);
  t.true(isQuarantined(core.world, fingerprint));
});

test('a quarantine ends ten minutes after the last process end', (t) => {
  const core = createFleetCore();
  quarantine(core);
  const { expiryDeadline } = core.world.crashRecords.get(fingerprint)!;
  t.is(expiryDeadline, core.now() + quarantineMilliseconds);
  core.runFor(1_000);
  recordEnd(core, fingerprint, 'd');
  t.is(
    core.world.crashRecords.get(fingerprint)!.expiryDeadline,
    core.now() + quarantineMilliseconds,
  );
  core.world.crashRecords.change(fingerprint, { expiryDeadline: core.now() + 100 });
  core.runFor(200);
  t.false(isQuarantined(core.world, fingerprint));
});

test('a record without process ends, or for a longer time, changes nothing', (t) => {
  const core = createFleetCore();
  const [sender] = core.world.daemons.rows();
  const send = (ends: string[], excusedEnds: string[]): void => {
    core.world.incomingMessages.append({
      from: asBrand<DaemonId>(sender!.id),
      message: {
        kind: 'crashesReported',
        incarnation: 1,
        revision: 1,
        records: [
          { fingerprint, ends, excusedEnds, remainingMilliseconds: Number.MAX_SAFE_INTEGER },
        ],
      },
    });
    core.settle();
  };
  send([], ['a']);
  t.is(core.world.crashRecords.size(), 0);
  send(['a'], []);
  t.true(
    core.world.crashRecords.get(fingerprint)!.expiryDeadline <= core.now() + quarantineMilliseconds,
  );
});
