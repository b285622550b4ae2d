/**
 * The ports of calls, runs and weight orders of one daemon over real sockets. The clock of the
 * daemon is advanced by the test.
 */
import { setImmediate as nextPoll, setTimeout as delay } from 'node:timers/promises';
import { asBrand } from '../../src/base/common/brand.js';
import type { Disposable } from '../../src/base/common/disposable.js';
import { createCallPort, type CallOutcome } from '../../src/daemon/forwarding/node/callPort.js';
import { createUpstreamClient } from '../../src/daemon/forwarding/node/upstreamClient.js';
import type { UpstreamDialect } from '../../src/daemon/forwarding/node/upstreamDialect.js';
import { createWeightOrderPort } from '../../src/daemon/duties/node/weightOrderPort.js';
import { createRunPort } from '../../src/daemon/jobs/node/runPort.js';
import { createScoringRequestFinder } from '../../src/daemon/jobs/node/scoringRequests.js';
import type { Declaration } from '../../src/service/declaration/common/declaration.js';
import type { CallId } from '../../src/service/forwarding/common/forwardingTables.js';
import { createFleetCore, type FleetCore } from '../virtual/fleetCore.js';
import { testDeclaration, testDeclarationCommand, testEngine } from '../virtual/fleetFixture.js';

/** The ports of a daemon whose services have one upstream each. */
export interface PortFixture extends Disposable {
  readonly core: FleetCore;
  /** Submits a call on `/book/slot`; resolves when it has ended. */
  readonly call: (requestId: string) => Promise<CallOutcome>;
  /** Advances both clocks until the condition holds, for at most `limit` milliseconds. */
  readonly runUntil: (condition: () => boolean, limit?: number) => Promise<boolean>;
}

/** Addresses of the upstreams, and the declaration. */
export interface PortFixtureOptions {
  readonly appAddress: string;
  readonly engineAddress?: string;
  readonly declaration?: Declaration;
}

const stepMilliseconds = 5;
const defaultLimitMilliseconds = 3_000;
const slots = 4;

/** Opens the ports. */
export const openPorts = (
  { appAddress, engineAddress, declaration = testDeclaration() }: PortFixtureOptions,
  dialect: UpstreamDialect,
): PortFixture => {
  const core = createFleetCore();
  const { world, now } = core;
  core.propose('declare', { ...testDeclarationCommand(), declaration });
  const upstreams = [
    { id: 'e1', service: 'yard-app', address: appAddress, models: [] },
    {
      id: 'e2',
      service: 'planner',
      address: engineAddress,
      models: [{ name: 'm0', version: 1 }],
    },
  ];
  upstreams.forEach(({ id, address, ...columns }) => {
    if (address === undefined) return;
    world.arrivedRegistrations.append({
      registration: testEngine(id, { ...columns, address, slots }),
      isDirect: false,
    });
  });
  core.settle();

  const client = createUpstreamClient();
  let isDisposed = false;
  const drain = (): void => {
    if (isDisposed) return;
    core.settle();
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- ports wake their ticks
    ports.forEach((port) => port.drain());
  };
  const wake = (): void => {
    setImmediate(drain);
  };
  const findScoringRequest = createScoringRequestFinder(world, dialect, wake);
  const calls = createCallPort(world, client, dialect, findScoringRequest, now, wake);
  const ports = [
    calls,
    createRunPort(world, client, dialect, now, wake),
    createWeightOrderPort(world, client, dialect, now, wake),
  ];
  let callCount = 0;

  return {
    core,
    call: (requestId) =>
      new Promise((resolve) => {
        callCount += 1;
        calls.submit(
          {
            id: asBrand<CallId>(`call-${callCount}`),
            requestId,
            host: 'yard.example',
            path: '/book/slot',
            key: 'key-1',
            digest: null,
            remaining: 20_000,
            isInternal: false,
            urgency: [],
            takesUp: null,
          },
          {
            content: {
              method: 'POST',
              path: `/book/${requestId}`,
              headers: {},
              body: Buffer.from(requestId),
            },
            onDidEnd: resolve,
          },
        );
      }),
    runUntil: async (condition, limit = defaultLimitMilliseconds) => {
      for (let passed = 0; passed < limit && !condition(); passed += stepMilliseconds) {
        await delay(stepMilliseconds);
        // Sockets are read between timers. While rounds take longer than a step, a timer of another
        // test is always due, and none would be read.
        await nextPoll();
        core.runFor(stepMilliseconds);
        drain();
      }
      return condition();
    },
    dispose: () => {
      isDisposed = true;
      ports.forEach((port) => port.dispose());
      client.dispose();
    },
  };
};
