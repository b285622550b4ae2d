/**
 * Parsing of network addresses of the form `host:port`.
 */

/** The parts of an address. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

const maximumPort = 65_535;
const maximumOctet = 255;
const socketAddressPattern = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):([1-9]\d{0,4})$/;

/** Whether a text is an IPv4 address and a port to which a connection can be opened. */
export const isSocketAddress = (text: string): boolean => {
  const parts = socketAddressPattern.exec(text)?.slice(1).map(Number);
  if (parts === undefined) return false;
  const [port, ...octets] = parts.reverse();
  return port! <= maximumPort && octets.every((octet) => octet <= maximumOctet);
};

/** Splits `host:port`; the format must have been validated before. */
export const splitAddress = (address: string): HostAndPort => {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
};
