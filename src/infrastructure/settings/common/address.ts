/**
 * Parsing of network addresses of the form `host:port`.
 */

/** The parts of an address. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `host:port`; the format must have been validated before. */
export const splitAddress = (address: string): HostAndPort => {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
};
