/**
 * Combines the ports of rollouts and fixes the order in which they drain after a tick: bodies that
 * arrived with the tick are loaded into memory before trainers get their responses.
 */
import type { Clock } from '../../../base/common/time.js';
import type { World } from '../../../service/world/common/world.js';
import { createBodyPort, type BodyPort } from '../common/bodyPort.js';
import type { BodyStore } from '../common/bodyStore.js';
import { createFetchPort, type FetchPort } from './fetchPort.js';
import { createSampleExchanges, type SampleExchanges } from './sampleExchanges.js';
import { createSampleTexts } from './sampleTexts.js';
import { createSubmissionPort, type SubmissionPort } from './submissionPort.js';

/** Ports of rollouts; `drain` runs after each tick, before the drain of the peer port. */
export interface RolloutPorts {
  readonly bodies: BodyPort;
  readonly fetches: FetchPort;
  readonly samples: SampleExchanges;
  readonly submissions: SubmissionPort;
  readonly drain: () => void;
}

/** Creates the ports on top of a body store. `wake` requests a tick. */
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
