/**
 * Connects once to the address of an upstream when systems ask for it, reports whether the address
 * refuses connections, and closes the connection. Nothing is written.
 */
import { createConnection, type Socket } from 'node:net';
import type { Disposable } from '../../../base/common/disposable.js';
import { splitAddress } from '../../../infrastructure/settings/common/address.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import {
  AddressState,
  type AddressProbeRow,
} from '../../../service/quarantine/common/quarantineTables.js';
import type { UpstreamId } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';

/** Connection error code that implies that nothing listens at the address. */
export const connectionRefusedCode = 'ECONNREFUSED';

/** Time for a connection to be accepted or refused; several round trips between regions. */
const connectTimeoutMilliseconds = 1_000;

/** Port of address probes; `drain` runs after each tick. */
export interface AddressProbePort extends Disposable {
  readonly drain: () => void;
}

/** Creates the port. `wake` requests a tick. */
export const createAddressProbePort = (world: World, wake: () => void): AddressProbePort => {
  const changes = world.addressProbes.createChangeReader(RowReader.Port);
  const sockets = new Map<UpstreamId, Socket>();

  const startProbe = ({ id, address }: AddressProbeRow): void => {
    const socket = createConnection(splitAddress(address));
    sockets.set(id, socket);
    const finish = (state: AddressState): void => {
      if (sockets.get(id) !== socket) return;
      sockets.delete(id);
      socket.destroy();
      world.addressFacts.append({ address, state });
      wake();
    };
    socket.setTimeout(connectTimeoutMilliseconds, () => finish(AddressState.Unclear));
    socket.once('connect', () => finish(AddressState.Accepting));
    socket.on('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === connectionRefusedCode ? AddressState.Refusing : AddressState.Unclear),
    );
  };

  const handleChange = (id: UpstreamId): void => {
    const probe = world.addressProbes.get(id);
    if (probe?.isOpen === true && !sockets.has(id)) startProbe(probe);
  };

  return {
    drain: () => changes.take().forEach(handleChange),
    dispose: () => {
      changes.dispose();
      sockets.forEach((socket) => socket.destroy());
      sockets.clear();
    },
  };
};
