/**
 * Properties of the exchange of crash records: whatever is lost, and whoever restarts, a call under
 * which three processes ended reaches no worker after the contact time.
 */
import test from 'ava';
import fc from 'fast-check';
import { createRandom } from '../../../../base/common/random.js';
import {
  contactMilliseconds,
  countLateRuns,
  createFleet,
  readRecord,
  sendRepeatedly,
  type Fleet,
} from './crashFixture.js';

const percent = 100;
const propertyRuns = 4;
const propertySeed = 20;

/** Loses a share of the messages in both directions of every link. */
const createLoss = (lostPercent: number, seed: number) => {
  const random = createRandom(seed);
  return () => random.nextInteger(percent) < lostPercent;
};

const restart = ({ installation }: Fleet, name: string): void => {
  installation.stop(name);
  installation.runFor(300);
  installation.start(name);
};

test('no run is late with lost messages', (t) => {
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 40 }), fc.integer({ min: 1 }), (lostPercent, seed) => {
      const fleet = createFleet({
        seed: (seed % 1_000) + 1,
        isLost: createLoss(lostPercent, seed),
      });
      sendRepeatedly(fleet, 20);
      return countLateRuns(fleet) === 0;
    }),
    { numRuns: propertyRuns, seed: propertySeed },
  );
  t.pass();
});

test('all daemons agree after lost messages and restarts', (t) => {
  const names = ['d1', 'd2', 'd3', 'd4', 'd5', 'd6'];
  fc.assert(
    fc.property(
      fc.array(fc.constantFrom(...names), { maxLength: 3 }),
      fc.integer({ min: 0, max: 30 }),
      fc.integer({ min: 1 }),
      (restarted, lostPercent, seed) => {
        const fleet = createFleet({
          seed: (seed % 1_000) + 1,
          isLost: createLoss(lostPercent, seed),
        });
        sendRepeatedly(fleet, 8);
        restarted.forEach((name) => {
          restart(fleet, name);
          sendRepeatedly(fleet, 1);
          fleet.installation.runFor(contactMilliseconds);
        });
        fleet.installation.runFor(contactMilliseconds);
        return names.every((name) => readRecord(fleet, name)?.isQuarantined === true);
      },
    ),
    { numRuns: propertyRuns, seed: propertySeed },
  );
  t.pass();
});
