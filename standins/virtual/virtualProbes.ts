/**
 * Answers the address probes of a daemon on virtual time.
 */
import type { Instant, Milliseconds } from '../../src/base/common/time.js';
import { RowReader } from '../../src/infrastructure/tables/common/rowReader.js';
import { AddressState } from '../../src/service/quarantine/common/quarantineTables.js';
import type { VirtualContext, VirtualPort } from './virtualInstallation.js';

/** A connection that a daemon opened to see whether an address accepts it. */
export interface VirtualProbe {
  readonly at: Instant;
  readonly address: string;
  readonly daemon: string;
}

/** Creates the port; `connect` records a probe and returns whether the address accepts it. */
export const createVirtualProbePort = (
  { daemon, now, schedule }: VirtualContext,
  connect: (probe: VirtualProbe) => boolean,
  delayTo: (address: string) => Milliseconds,
): VirtualPort => {
  const { world } = daemon.core;
  const changes = world.addressProbes.createChangeReader(RowReader.Port);
  return {
    drain: () =>
      changes
        .take()
        .map((id) => world.addressProbes.get(id))
        .filter((probe) => probe?.isOpen === true)
        .forEach((probe) => {
          const { address } = probe!;
          schedule(delayTo(address), () => {
            const isAccepted = connect({ at: now(), address, daemon: daemon.name });
            const state = isAccepted ? AddressState.Accepting : AddressState.Refusing;
            world.addressFacts.append({ address, state });
          });
        }),
  };
};
