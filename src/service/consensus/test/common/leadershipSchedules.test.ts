import test from 'ava';
import { runLeadershipSchedule } from './leadershipSchedules.js';

/** Each of them breaks a promise without one of the safeguards of votes and of changes of voters. */
const seeds = [2, 4, 12, 19, 70, 74, 105, 128, 133, 150, 173, 198];

seeds.forEach((seed) => {
  test(`one daemon at a time acts as leader, with rising fencing tokens (seed ${seed})`, (t) => {
    const { violations, leaderships, voterChanges } = runLeadershipSchedule(seed);
    t.deepEqual(violations, []);
    t.true(leaderships > 1 && voterChanges > 0, 'the schedule changes leaders and voters');
  });
});
