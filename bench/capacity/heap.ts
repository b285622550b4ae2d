/**
 * Measures the memory in use after full garbage collections.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const collectionCount = 3;

/** Collects garbage, and returns the bytes of the heap and of external buffers that are still in use. */
export const measureReachableBytes = (): number => {
  for (let collection = 0; collection < collectionCount; collection += 1) collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
};
