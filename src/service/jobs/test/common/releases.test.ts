import test from 'ava';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import { EventKind } from '../../../events/common/eventKind.js';
import { createReleaseFleet } from './releaseFleet.js';

const seeds = Array.from({ length: 12 }, (_, index) => index + 1);
const hosts = 6;
const steps = 400;
const stepsPerCrash = 60;
/** A step counts as lost if one of its items has been at no engine for so long. */
const lostMilliseconds = 5_000;

const items = Array.from({ length: 8 }, (_, index) => `i${index}`);
const eventsOf = (item: string): number => 10 + 5 * Number(item.slice(1));

const jobItems = (job: number) =>
  items.map((item) => ({ ...testItem(item, `g-${item}`), path: `/plan/${job}/${item}` }));

seeds.forEach((seed) =>
  test(`no listed text is of two software versions while a release rolls, seed ${seed}`, (t) => {
    const core = createFleetCore();
    core.propose('declare', testDeclarationCommand());
    const fleet = createReleaseFleet(core, {
      seed,
      hosts,
      eventsOf,
      stepsPerCrash,
      releaseAt: core.now() + 8_000,
    });
    let job = 0;
    const submitJob = (): void => {
      job += 1;
      const name = `j${job}`;
      core.propose(name, testJob(name, jobItems(job), { submittedAt: core.now(), step: job }));
    };
    const isDone = (): boolean => core.world.jobs.get(`j${job}` as never)!.listed === items.length;
    submitJob();
    for (let step = 0; step < steps; step += 1) {
      fleet.step();
      if (isDone()) submitJob();
    }
    const results = [...core.world.jobResults.rows()].filter(({ text }) => text !== '');
    const mixed = results.filter(({ text }) => new Set(text.split('\n')).size > 1);
    const events = core.world.events.takeAll();
    const resumed = events.filter(
      ({ kind, subject }) => kind === EventKind.RunStarted && Number(subject.afterEvent) > 0,
    );
    const discarded = events.filter(({ kind }) => kind === EventKind.TextDiscarded);
    t.log(
      `${job} jobs, ${results.length} texts, ${resumed.length} taken up, ` +
        `${discarded.length} begun anew, longest wait ${fleet.longestWait()} ms`,
    );
    t.true(results.length > 0);
    t.deepEqual(mixed, []);
    t.true(fleet.longestWait() < lostMilliseconds, `${fleet.longestWait()} ms`);
  }),
);
