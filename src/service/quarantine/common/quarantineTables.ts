/**
 * Tables of the quarantine of requests that end the processes that run them. A suspicion is a run
 * that broke; it becomes part of a crash record only with evidence that the process ended. Crash
 * records are exchanged between daemons, suspicions are not.
 */
import { asBrand, type Brand } from '../../../base/common/brand.js';
import type { ValueOf } from '../../../base/common/handlers.js';
import { never, type Instant } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { DaemonId, UpstreamId } from '../../world/common/identifiers.js';
import type { Fingerprint } from './fingerprint.js';

export type SuspicionId = Brand<'suspicion'>;

/** One start of an upstream. */
export interface UpstreamProcess {
  readonly upstream: UpstreamId;
  readonly address: string;
  /** Distinguishes two starts under one identifier; increases from start to start. */
  readonly startedAt: number;
}

/** How a run ended that gave no answer. */
export const SuspicionCause = {
  /** The connection broke. */
  Broken: 'broken',
  /** There was no answer in time; the process may have ended without closing its connections. */
  TimedOut: 'timedOut',
} as const;
export type SuspicionCause = ValueOf<typeof SuspicionCause>;

/** A run without an answer at a process that may have ended during it. */
export interface SuspicionRow extends UpstreamProcess {
  readonly id: SuspicionId;
  readonly fingerprint: Fingerprint;
  readonly cause: SuspicionCause;
  /** Request identifier, for events. */
  readonly request: string;
  readonly suspectedAt: Instant;
  /**
   * Whether the address accepts connections after the run: the process lives, or a later start of
   * it will register.
   */
  readonly isAccepting: boolean;
  /** Time by which evidence of the end of the process counts. */
  readonly evidenceDeadline: Instant;
}

/** Why a process counts as ended. */
export const ProcessEvidence = {
  /** A later start has registered at the same identifier or address. */
  LaterStart: 'laterStart',
  /** Its address refuses connections. */
  ConnectionRefused: 'connectionRefused',
  /** Its registration ended because its reports stopped, without an announced departure. */
  ReportsStopped: 'reportsStopped',
} as const;
export type ProcessEvidence = ValueOf<typeof ProcessEvidence>;

/** Identifies the end of one process. */
export type ProcessEnd = Brand<'processEnd'>;

/** Returns the identifier of the end of a process. */
export const processEndOf = ({ upstream, startedAt }: UpstreamProcess): ProcessEnd =>
  asBrand<ProcessEnd>(`${upstream}@${startedAt}`);

/** Returns the upstream whose process ended. */
export const upstreamOfEnd = (end: ProcessEnd): UpstreamId =>
  asBrand<UpstreamId>(end.slice(0, end.lastIndexOf('@')));

/** A request during which at least one process ended. */
export interface CrashRecordRow {
  readonly id: Fingerprint;
  /** The processes that ended while they ran the request. Grows only, so that records merge. */
  readonly ends: readonly ProcessEnd[];
  /** Those that do not count, because the request was answered after them. Grows only. */
  readonly excusedEnds: readonly ProcessEnd[];
  /** Whether the request is refused. */
  readonly isQuarantined: boolean;
  /** Time at which the row is removed. */
  readonly expiryDeadline: Instant;
  /** Revision of this daemon's records at which it last passed the row on; 0 for never. */
  readonly revision: number;
  /** Time at which a change is passed on; `never` if there is none. */
  readonly passOnDeadline: Instant;
  /** The daemon process from which this very record came; null if none is known to hold it. */
  readonly holder: CrashHolder | null;
}

/** Identifies a daemon process that holds a record. */
export type CrashHolder = Brand<'crashHolder'>;

/** Returns the identifier of a daemon process, for `holder`. */
export const crashHolderOf = (daemon: DaemonId, incarnation: number): CrashHolder =>
  asBrand<CrashHolder>(`${daemon}@${incarnation}`);

/** A connection attempt that shows whether an address still accepts connections. */
export interface AddressProbeRow extends Omit<UpstreamProcess, 'upstream'> {
  readonly id: UpstreamId;
  /** Whether the port has been asked to connect. */
  readonly isOpen: boolean;
  /** Time at which the port connects. */
  readonly startDeadline: Instant;
}

export const AddressState = {
  /** Nothing listens at the address. */
  Refusing: 'refusing',
  Accepting: 'accepting',
  /** The connection attempt failed otherwise, or in no time. */
  Unclear: 'unclear',
} as const;
export type AddressState = ValueOf<typeof AddressState>;

/** The result of a connection attempt. */
export interface AddressFact {
  readonly address: string;
  readonly state: AddressState;
}

/** The latest revision of the crash records of this daemon. */
export interface OwnCrashesRow {
  readonly id: Brand<'ownCrashes'>;
  readonly revision: number;
}
export const ownCrashesId: OwnCrashesRow['id'] = asBrand('ownCrashes');

/** A daemon to which this one sends its crash records. */
export interface CrashReceiverRow {
  readonly id: DaemonId;
  readonly incarnation: number;
  /** Revision up to which it has acknowledged the records of this daemon. */
  readonly acknowledged: number;
  /** Time at which records that are not acknowledged are sent, again if necessary. */
  readonly sendDeadline: Instant;
}

/** Creates the tables and queues of the quarantine. */
export const createQuarantineTables = () => ({
  suspicions: createTable<SuspicionRow, 'upstream' | 'address' | 'fingerprint', 'evidence'>({
    name: 'suspicions',
    indices: {
      upstream: (row) => row.upstream,
      address: (row) => row.address,
      fingerprint: (row) => row.fingerprint,
    },
    deadlines: { evidence: (row) => row.evidenceDeadline },
  }),
  crashRecords: createTable<CrashRecordRow, never, 'expiry' | 'passOn'>({
    name: 'crashRecords',
    indices: {},
    deadlines: { expiry: (row) => row.expiryDeadline, passOn: (row) => row.passOnDeadline },
  }),
  addressProbes: createTable<AddressProbeRow, 'address', 'start'>({
    name: 'addressProbes',
    indices: { address: (row) => row.address },
    deadlines: { start: (row) => (row.isOpen ? never : row.startDeadline) },
  }),
  addressFacts: createRowQueue<AddressFact>('addressFacts', RowReader.System),
  ownCrashes: createTable<OwnCrashesRow>({ name: 'ownCrashes', indices: {}, deadlines: {} }),
  crashReceivers: createTable<CrashReceiverRow, never, 'send'>({
    name: 'crashReceivers',
    indices: {},
    deadlines: { send: (row) => row.sendDeadline },
  }),
});
