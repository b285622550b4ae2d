/**
 * Full disks that refuse every write for some seconds. Guards against an acknowledged request that is
 * lost, against control that stops with one full disk, and against an acknowledgement without disks.
 */
import test from 'ava';
import { openEvacuationFixture, stores, type EvacuationFixture } from './evacuationFixture.js';

/** Bound for the acknowledgement of an evacuation in a stable core. */
const acknowledgementMilliseconds = 5_000;
const fullMilliseconds = 6_000;
/** `recoveryS` of the users' installations. */
const recoveryMilliseconds = 12_000;

const setFull = (
  { installation }: EvacuationFixture,
  name: string,
  isFullForNow: boolean,
): void => {
  Object.assign(installation.disk(name).faults, { isFullForNow });
};

const losePower = ({ installation }: EvacuationFixture): void => {
  stores.forEach((name) => installation.stop(name));
  stores.forEach((name) => installation.start(name));
};

const seeds = [1, 2, 3, 4, 5, 6];

seeds.forEach((seed) => {
  test.serial(
    `control goes on while the disk of the leader is full, and nothing is lost, seed ${seed}`,
    (t) => {
      const fixture = openEvacuationFixture(seed);
      const leader = fixture.leader()!;
      setFull(fixture, leader, true);
      fixture.request('z1', true);
      fixture.runFor(acknowledgementMilliseconds);
      t.true(fixture.isIdle(), 'acknowledged');
      losePower(fixture);
      setFull(fixture, leader, false);
      fixture.runFor(recoveryMilliseconds);
      t.truthy(fixture.leader());
      t.true(fixture.acknowledgedState('z1'));
      t.deepEqual(fixture.lackingZones(), []);
      t.deepEqual(fixture.violations(), []);
    },
  );

  test.serial(
    `nothing is acknowledged while most disks are full, and all goes on afterwards, seed ${seed}`,
    (t) => {
      const fixture = openEvacuationFixture(seed);
      fixture.request('z1', true);
      fixture.runFor(acknowledgementMilliseconds);
      t.true(fixture.isIdle());
      stores.slice(0, 2).forEach((name) => setFull(fixture, name, true));
      fixture.request('z1', false);
      fixture.runFor(fullMilliseconds);
      t.false(fixture.isIdle(), 'not acknowledged');
      t.true(fixture.refusals() > 0, 'refused requests are reported');
      losePower(fixture);
      stores.forEach((name) => setFull(fixture, name, false));
      fixture.runFor(recoveryMilliseconds);
      t.true(fixture.isIdle(), 'acknowledged once there is room');
      t.deepEqual(fixture.lackingZones(), []);
      t.deepEqual(fixture.violations(), []);
    },
  );

  test.serial(`disks that are full one after another stop nothing, seed ${seed}`, (t) => {
    const fixture = openEvacuationFixture(seed);
    [...stores, ...stores].forEach((name, position) => {
      setFull(fixture, name, true);
      fixture.request('z1', position % 2 === 0);
      fixture.runFor(acknowledgementMilliseconds);
      t.true(fixture.isIdle(), `${name} is full`);
      setFull(fixture, name, false);
      fixture.runFor(1_000);
    });
    fixture.runFor(recoveryMilliseconds);
    t.deepEqual(fixture.lackingZones(), []);
    t.deepEqual(fixture.violations(), []);
  });
});
