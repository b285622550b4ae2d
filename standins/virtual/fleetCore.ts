/**
 * One control daemon with the declaration profile that forms a quorum by itself. Its storage
 * requests are acknowledged immediately, its outgoing messages are discarded, and the test advances
 * its clock.
 */
import { createRandom } from '../../src/base/common/random.js';
import type { Instant, Milliseconds } from '../../src/base/common/time.js';
import type { FleetSettings } from '../../src/infrastructure/settings/common/fleetSettings.js';
import { defaultFleetSettings } from '../../src/infrastructure/settings/common/fleetSettings.js';
import { noopMetrics } from '../../src/infrastructure/metrics/common/metrics.js';
import { createCore, Profile } from '../../src/service/core/common/core.js';
import type { Command } from '../../src/service/consensus/common/command.js';
import type { World } from '../../src/service/world/common/world.js';
import { createTestDeployment, createTestTree } from './testDeployment.js';

export interface FleetCore {
  readonly world: World;
  readonly now: () => Instant;
  /** Ticks and acknowledges storage requests until no work is left at this instant. */
  readonly settle: () => void;
  /** Advances the clock in small steps. */
  readonly runFor: (duration: Milliseconds) => void;
  /** Proposes a command and settles. */
  readonly propose: (id: string, command: Command) => void;
}

const stepMilliseconds = 50;
const settlingRounds = 6;
const proposalTimeoutMilliseconds = 5_000;

/** Time until the daemon is leader and can send orders. */
export const electionMilliseconds: Milliseconds = 8_000;

/** Creates the daemon and runs it until it is leader. */
export const createFleetCore = (fleet: Partial<FleetSettings> = {}): FleetCore => {
  const deployment = createTestDeployment(1, 1);
  let now: Instant = 0;
  const { world, ticker } = createCore(
    {
      deployment,
      self: deployment.daemons[0]!,
      tree: createTestTree(),
      incarnation: 1,
      random: createRandom(1),
      metrics: noopMetrics,
      voters: [deployment.daemons[0]!.name],
      fleet: { ...defaultFleetSettings, ...fleet },
      wallClock: () => now,
    },
    now,
    Profile.Declaration,
  );
  world.storageFacts.append({
    kind: 'recovered',
    state: { term: 0, votedFor: null, hasJoined: false, snapshot: null, entries: [] },
  });

  const tick = (): void => {
    const outcome = ticker.tick(now);
    if (outcome.isErr()) throw new Error(outcome.error.message);
    world.outgoingMessages.takeAll();
    world.storageRequests
      .takeAll()
      .forEach(({ sequence }) => world.storageFacts.append({ kind: 'synced', sequence }));
  };

  const settle = (): void => {
    for (let round = 0; round < settlingRounds; round += 1) tick();
  };

  const runFor = (duration: Milliseconds): void => {
    const end = now + duration;
    while (now < end) {
      now = Math.min(end, now + stepMilliseconds);
      settle();
    }
  };

  runFor(electionMilliseconds);
  return {
    world,
    now: () => now,
    settle,
    runFor,
    propose: (id, command) => {
      world.proposals.append({
        id: id as never,
        command,
        proposalDeadline: now + proposalTimeoutMilliseconds,
      });
      settle();
    },
  };
};
