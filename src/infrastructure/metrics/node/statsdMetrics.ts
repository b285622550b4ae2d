/**
 * Sends metrics over UDP with the StatsD protocol. Lost datagrams and send errors are ignored.
 */
import { StatsD } from 'hot-shots';
import type { AsyncDisposable } from '../../../base/common/disposable.js';
import type { Metrics } from '../common/metrics.js';

const prefix = 'shallotquay.';

/** Opens a StatsD client; `address` is `host:port`, and `processName` becomes a global tag. */
export const createStatsdMetrics = (
  address: string,
  processName: string,
): Metrics & AsyncDisposable => {
  const [host, port] = address.split(':');
  const client = new StatsD({
    host: host!,
    port: Number(port),
    prefix,
    globalTags: { process: processName },
    errorHandler: () => {},
  });
  return {
    count: (name, amount = 1, tags = {}) => client.increment(name, amount, { ...tags }),
    gauge: (name, value, tags = {}) => client.gauge(name, value, { ...tags }),
    observe: (name, latency, tags = {}) => client.timing(name, latency, { ...tags }),
    dispose: () =>
      new Promise((resolve) => {
        client.close(() => resolve());
      }),
  };
};
