/**
 * The stand-in engine of the path bench, as a separate process. It announces itself to the entries given
 * as arguments, and sends its address to the parent process.
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
