/**
 * The engine of the path bench, in a process of its own; announces itself to the entry given as argument.
 */
import { startEngine } from '../../standins/index.js';

const slots = 256;

const engine = await startEngine({
  name: 'bench-engine',
  service: 'planner-lm',
  models: ['planner-lm'],
  zone: 'gp-north',
  slots,
  recordLimit: slots,
});
engine.announceTo(process.argv.slice(2));
process.send?.(engine.address);
process.on('SIGTERM', () => {
  void engine.dispose().then(() => process.exit(0));
});
