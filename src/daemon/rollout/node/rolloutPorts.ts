/**
 * The ports of rollouts together, and the order in which they read after a tick: an answer to a trainer is
 * made only after the bodies that came with the tick are in memory.
 */
import type { Clock } from '../../../base/common/time.js';
import type { World } from '../../../service/world/common/world.js';
import { createBodyPort, type BodyPort } from '../common/bodyPort.js';
import type { BodyStore } from '../common/bodyStore.js';
import { createFetchPort, type FetchPort } from './fetchPort.js';
import { createSampleExchanges, type SampleExchanges } from './sampleExchanges.js';
import { createSampleTexts } from './sampleTexts.js';
import { createSubmissionPort, type SubmissionPort } from './submissionPort.js';

/** The ports of rollouts; `drain` is run after each tick, before the port of the peers. */
export interface RolloutPorts {
  readonly bodies: BodyPort;
  readonly fetches: FetchPort;
  readonly samples: SampleExchanges;
  readonly submissions: SubmissionPort;
  readonly drain: () => void;
}

/** Creates the ports over a store of bodies. */
export const createRolloutPorts = (
  world: World,
  store: BodyStore,
  clock: Clock,
  wake: () => void,
): RolloutPorts => {
  const texts = createSampleTexts(world);
  const bodies = createBodyPort(world, store, texts.find, wake);
  const fetches = createFetchPort(world, wake);
  const submissions = createSubmissionPort(world, clock, wake);
  return {
    bodies,
    fetches,
    samples: createSampleExchanges(world, bodies, texts),
    submissions,
    drain: () => {
      submissions.drain();
      bodies.drain();
      fetches.drain();
      texts.drain();
    },
  };
};
