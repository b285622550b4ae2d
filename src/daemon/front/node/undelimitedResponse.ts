/**
 * Writes responses whose end only the end of the connection marks. A response of an upstream that
 * has no length and no chunks may have been cut; with a length or chunks of ours, the part that
 * arrived would look complete to the client.
 */
import type { ServerResponse } from 'node:http';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';

/** Status, header entries and body of a response without a length. */
export interface UndelimitedResponse {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
}

/** Writes the head of a response that ends with its connection; the body is written to `outgoing`. */
export const startUndelimitedResponse = (
  outgoing: ServerResponse,
  status: number,
  headers: Readonly<Record<string, string>>,
): void => {
  // Without it, node:http adds a length or chunks.
  Object.assign(outgoing, { useChunkedEncodingByDefault: false });
  outgoing.writeHead(status, { ...headers, connection: 'close' });
};

/**
 * Writes the response, closes the connection after it, and returns the value with which a route
 * states that it has written its response itself.
 */
export const writeUndelimitedResponse = (
  outgoing: ServerResponse,
  { status, headers, body }: UndelimitedResponse,
): Response => {
  startUndelimitedResponse(outgoing, status, Object.fromEntries(headers));
  outgoing.end(body);
  return RESPONSE_ALREADY_SENT;
};
