/**
 * Starts servers on the addresses from the settings.
 */
import type { Server } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import { splitAddress } from '../../settings/common/address.js';

export interface ListenError {
  readonly kind: 'addressInUse' | 'addressUnavailable';
  readonly message: string;
}

const kindByCode: Readonly<Record<string, ListenError['kind']>> = { EADDRINUSE: 'addressInUse' };

const messageByKind: Readonly<Record<ListenError['kind'], string>> = {
  addressInUse: 'is already in use; stop the process that uses it or change the settings.',
  addressUnavailable: 'is not available for listening; check that this VM has the address.',
};

const createListenError = (address: string, error: NodeJS.ErrnoException): ListenError => {
  const kind = kindByCode[error.code ?? ''] ?? 'addressUnavailable';
  return { kind, message: `The address ${address} ${messageByKind[kind]}` };
};

/** Listens on `address` (`host:port`; port 0 selects a free port) and returns the bound address. */
export const listen = (server: Server, address: string): Promise<Result<string, ListenError>> =>
  new Promise((resolve) => {
    const { host, port } = splitAddress(address);
    server.once('error', (error) => resolve(err(createListenError(address, error))));
    server.listen(port, host, () => {
      const bound = server.address();
      const boundPort = typeof bound === 'object' && bound !== null ? bound.port : port;
      resolve(ok(`${host}:${boundPort}`));
    });
  });
