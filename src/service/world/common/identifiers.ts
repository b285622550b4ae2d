/**
 * Identifier types of the tables, and the generator of new identifiers. An identifier consists of a
 * prefix, the daemon, its incarnation and a counter, so that it is unique across daemons and
 * restarts.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';

export type RequestId = Brand<'request'>;
export type AttemptId = Brand<'attempt'>;
export type UpstreamId = Brand<'upstream'>;
export type DaemonId = Brand<'daemon'>;
export type ServiceName = Brand<'service'>;
export type WorkspaceName = Brand<'workspace'>;
export type KeyDigest = Brand<'keyDigest'>;
export type LotId = Brand<'lot'>;
export type GroupId = Brand<'group'>;
export type SampleId = Brand<'sample'>;
export type FetchId = Brand<'fetch'>;
export type BatchId = Brand<'batch'>;
export type BodyId = Brand<'body'>;
export type BodyReadId = Brand<'bodyRead'>;
export type BodyCopyId = Brand<'bodyCopy'>;

/** Generates identifiers that are unique across all daemons and their restarts. */
export interface Identifiers {
  readonly next: <Id extends Brand<string>>(prefix: string) => Id;
}

/** Creates the generator for one incarnation of a daemon. */
export const createIdentifiers = (daemon: string, incarnation: number): Identifiers => {
  let count = 0;
  const origin = `${daemon}.${incarnation.toString(36)}`;
  return {
    next: <Id extends Brand<string>>(prefix: string): Id => {
      count += 1;
      return asBrand<Id>(`${prefix}-${origin}-${count}`);
    },
  };
};
