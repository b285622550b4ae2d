/**
 * Heap bytes in use after a full collection.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const collectionCount = 3;

/** Bytes of the heap and of buffers that are reachable now. */
export const measureReachableBytes = (): number => {
  for (let collection = 0; collection < collectionCount; collection += 1) collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
};
