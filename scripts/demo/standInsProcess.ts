/**
 * Runs all stand-in upstreams of the demo in one process: engines and a plain service. They announce
 * themselves to the entries given as arguments, and the process sends their addresses to its parent.
 */
import { startEngine, startPlain } from '../../standins/index.js';

const tokenDelayMilliseconds = 4;
const entries = process.argv.slice(2);
const zones = ['gp-north', 'gp-north', 'gp-south', 'gp-south', 'wc-depot', 'wc-depot'];

const engines = await Promise.all(
  zones.map((zone, index) =>
    startEngine({
      name: `planner-${index + 1}`,
      service: 'planner-lm',
      models: ['planner-lm'],
      zone,
      slots: 4,
      tokenDelay: tokenDelayMilliseconds,
    }),
  ),
);
const plain = await startPlain({ name: 'yard-1', service: 'yard-app', zone: 'gp-north' });
[...engines, plain].forEach((upstream) => upstream.announceTo(entries));

process.send?.({ engines: engines.map((engine) => engine.address), plain: plain.address });
process.on('SIGTERM', () => {
  void Promise.all([...engines, plain].map((upstream) => upstream.dispose())).then(() =>
    process.exit(0),
  );
});
