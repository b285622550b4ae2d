/**
 * Guards against an operator who takes what one daemon shows, or a page that could not be read, for
 * the state of the installation.
 */
import test, { type ExecutionContext } from 'ava';
import { Hono } from 'hono';
import { createScrapedMetrics } from '../../../../infrastructure/metrics/node/scrapedMetrics.js';
import {
  defaultPlaceSettings,
  type PlaceSettings,
} from '../../../../infrastructure/settings/common/fleetSettings.js';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { createMetricsRoutes } from '../../../../daemon/metrics/node/metricsRoutes.js';
import type { RouteEnvironment } from '../../../../daemon/front/node/decoding.js';
import { openHttpServer } from '../../../../daemon/front/node/httpServer.js';
import { createZoneEvacuated } from '../../../../service/places/common/evacuationRequests.js';
import { runProgram } from '../../../main/node/program.js';

const places: PlaceSettings = {
  ...defaultPlaceSettings,
  regionByZone: { z1: 'r1', z2: 'r1' },
  canEvacuate: true,
};

const serve = async (t: ExecutionContext, routes: Hono<RouteEnvironment>): Promise<string> => {
  const { limits } = createFleetCore().world.deployment;
  const opened = await openHttpServer('127.0.0.1:0', limits, [routes], ({ message }) =>
    t.fail(message),
  );
  const server = opened._unsafeUnwrap();
  t.teardown(() => server.dispose());
  return server.address;
};

const run = async (...addresses: readonly string[]) => {
  const written = { output: '', error: '' };
  const exitCode = await runProgram(['zones', ...addresses], {
    standardInput: process.stdin,
    writeOutput: (text) => {
      written.output += text;
    },
    writeError: (text) => {
      written.error += text;
    },
  });
  return { exitCode, ...written };
};

test('the zones are shown with the time of the request and the sum of what runs there', async (t) => {
  const core = createFleetCore({ places });
  const routes = createMetricsRoutes('/metrics', core.world, createScrapedMetrics(), core.now);
  const address = await serve(t, routes);
  t.deepEqual(await run(address), { exitCode: 0, output: 'no zone is evacuated\n', error: '' });
  core.propose('evacuate', createZoneEvacuated(core.world, 'z1'));
  const page = `shallotquay_places_evacuated_since{zone="z1"} ${core.now() / 1_000}
shallotquay_places_running_in_evacuated_zone{zone="z1"} 3
`;
  const other = await serve(
    t,
    new Hono<RouteEnvironment>().get('/other', (context) => context.text(page)),
  );
  const shown = await run(address, `${other}/other`);
  const since = new Date(core.now()).toISOString();
  const output = `z1 evacuated since ${since}, 3 requests running there, known to 2 of 2 daemons\n`;
  t.deepEqual(shown, { exitCode: 0, output, error: '' });
});

test('pages that cannot be read are named with a remedy, and the others are shown', async (t) => {
  const core = createFleetCore({ places });
  core.propose('evacuate', createZoneEvacuated(core.world, 'z1'));
  const routes = createMetricsRoutes('/metrics', core.world, createScrapedMetrics(), core.now);
  const address = await serve(
    t,
    routes.get('/empty', (context) => context.text('')),
  );
  const { exitCode, output, error } = await run(
    address,
    `${address}/absent`,
    `${address}/empty`,
    '127.0.0.1:1',
  );
  t.is(exitCode, 1);
  t.regex(output, /^z1 evacuated since .*, known to 1 of 1 daemons\n$/);
  t.regex(error, /\/absent: It answers with status 404; check the path of the metrics page\.\n/);
  t.regex(error, /\/empty: The page shows no zones; .*\n/);
  t.regex(error, /127\.0\.0\.1:1: It does not respond; check .*\n/);
});
