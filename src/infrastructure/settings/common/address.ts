/**
 * Addresses as `host:port`.
 */

/** The two parts of an address. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `host:port`; the settings have checked the form. */
export const splitAddress = (address: string): HostAndPort => {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
};
