/**
 * Closes the exchange of a request once its row has reached a final state.
 */
import type { Disposable } from '../../../base/common/disposable.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { hasRequestEnded } from '../../../service/traffic/common/endRequest.js';
import type { World } from '../../../service/world/common/world.js';
import type { ExchangeRegistry } from './exchange.js';

/** Closes finished exchanges; `drain` runs after each tick. */
export interface ExchangePort extends Disposable {
  readonly drain: () => void;
}

/** Creates the port. */
export const createExchangePort = (world: World, registry: ExchangeRegistry): ExchangePort => {
  const changes = world.requests.createChangeReader(RowReader.Port);
  return {
    drain: () =>
      changes.take().forEach((id) => {
        const request = world.requests.get(id);
        if (request !== undefined && hasRequestEnded(request))
          registry.take(id)?.close(request.refusal);
      }),
    dispose: changes.dispose,
  };
};
