/**
 * What reports of joining rest on: what this daemon has received since it started to lack entries, and
 * what each voter last said of itself. Only reports and metrics read the rows; no decision does.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import type { Instant } from '../../../base/common/time.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { DaemonId } from '../../world/common/identifiers.js';

/** What this daemon has received since it started to lack entries. */
export interface JoinProgressRow {
  readonly id: Brand<'joinProgress'>;
  /** Daemon that last sent entries, or parts of a snapshot; null if none did. */
  readonly from: DaemonId | null;
  /** Highest index that a sender has named as one that it holds; null if none did. */
  readonly reportedIndex: number | null;
  /** Number of parts of the snapshot that arrives; null if none has arrived yet. */
  readonly partCount: number | null;
  readonly receivedEntries: number;
  readonly receivedParts: number;
  /** Last index that this daemon held at the last report, from which follows how fast it advances. */
  readonly sampledIndex: number;
  readonly sampledAt: Instant;
}

/** Identifier of the only row of `joinProgress`. */
export const joinProgressId: JoinProgressRow['id'] = asBrand('joinProgress');

/** What another voter last said of itself, in an answer to this daemon. */
export interface VoterStatementRow {
  readonly id: DaemonId;
  readonly hasJoined: boolean;
  readonly lastIndex: number;
  /** Index up to which it knows that there are entries; null if it does not know or did not say. */
  readonly reportedIndex: number | null;
  /** Time since which it has not joined; null if it has, or did not say. */
  readonly notJoinedSince: Instant | null;
  /** Time at which it said so; what it said may have changed since. */
  readonly saidAt: Instant;
}

/** The newest voters that other daemons have named, as far as they concern this daemon. */
export interface NamedVotersRow {
  readonly id: Brand<'namedVoters'>;
  /** Index of the entry that defines them; 0 for the initial voters. */
  readonly index: number;
  readonly includesSelf: boolean;
}

/** Identifier of the only row of `namedVoters`. */
export const namedVotersId: NamedVotersRow['id'] = asBrand('namedVoters');

export const createJoinTables = () => ({
  joinProgress: createTable<JoinProgressRow>({ name: 'joinProgress', indices: {}, deadlines: {} }),
  namedVoters: createTable<NamedVotersRow>({ name: 'namedVoters', indices: {}, deadlines: {} }),
  voterStatements: createTable<VoterStatementRow>({
    name: 'voterStatements',
    indices: {},
    deadlines: {},
  }),
});
