/**
 * `npm run bench [-- NAME …]`: runs all benches, or those named, one after the other, and prints their
 * measurements as JSON lines. The exit code is 2 if a name is unknown.
 */
import { formatMeasurement, type Bench } from './measurement.js';
import { runCapacityBench } from './capacity/capacityBench.js';
import { runControlBench } from './control/controlBench.js';
import { runLoadBench } from './load/loadBench.js';
import { runPathBench } from './path/pathBench.js';
import { runTrafficBench } from './traffic/trafficBench.js';
import { runRolloutBench } from './rollout/rolloutBench.js';
import { runTickBench } from './tick/tickBench.js';
import { runCrowdBench } from '../platform/bench/crowd/crowdBench.js';
import { runJoiningBench } from '../platform/bench/joining/joiningBench.js';

/** Every bench by its name. */
const benches: Readonly<Record<string, Bench>> = {
  tick: runTickBench,
  path: runPathBench,
  capacity: runCapacityBench,
  traffic: runTrafficBench,
  rollout: runRolloutBench,
  control: runControlBench,
  joining: runJoiningBench,
  crowd: runCrowdBench,
  load: runLoadBench,
};

const requestedNames = process.argv.slice(2);
const names = requestedNames.length === 0 ? Object.keys(benches) : requestedNames;
const unknownNames = names.filter((name) => !Object.hasOwn(benches, name));
if (unknownNames.length > 0) {
  console.error(
    `unknown bench ${unknownNames.join(', ')}; use one of ${Object.keys(benches).join(', ')}`,
  );
  process.exit(2);
}
for (const name of names) {
  const measurements = await benches[name]!();
  measurements.forEach((measurement) => console.log(formatMeasurement(measurement)));
}
