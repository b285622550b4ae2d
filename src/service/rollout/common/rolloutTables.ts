/**
 * The tables of rollouts. A lot holds the samples that a trainer requests for one training step; it
 * consists of groups of samples, and each sample is one request to an engine. Lots, samples and
 * batches are replicated, identical on all control daemons, and changed only by ledger commands.
 * Runs, clocks and fetches are local to one daemon. Texts stay in the ports.
 */
import { never } from '../../../base/common/time.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';
import { createTable } from '../../../infrastructure/tables/common/table.js';
import type { LotId } from '../../world/common/identifiers.js';
import {
  ReadState,
  type BodyLoadResult,
  type BodyCopyRow,
  type BodyWriteResult,
  type BodyLoadRequest,
  type BodyReadRow,
  type ReceivedBody,
  type BodySendRequest,
  type BodyWriteRequest,
} from './bodyRows.js';
import type { BatchRow, LotRow, SampleRow } from './ledgerRows.js';
import {
  FetchState,
  RunState,
  SubmissionState,
  type FetchRow,
  type LedgerProposalRow,
  type LotClockRow,
  type LotWindowRow,
  type SampleRunRow,
  type SubmissionRow,
} from './runRows.js';

const createReplicatedTables = () => ({
  lots: createTable<LotRow, 'state' | 'owner'>({
    name: 'lots',
    indices: { state: (row) => row.state, owner: (row) => row.owner },
    deadlines: {},
  }),
  samples: createTable<SampleRow, 'lot' | 'lotState' | 'group' | 'groupState'>({
    name: 'samples',
    indices: {
      lot: (row) => row.lot,
      lotState: (row) => `${row.lot}/${row.state}`,
      group: (row) => row.group,
      groupState: (row) => `${row.group}/${row.state}`,
    },
    deadlines: {},
  }),
  batches: createTable<BatchRow, 'lot'>({
    name: 'batches',
    indices: { lot: (row) => row.lot },
    deadlines: {},
  }),
});

const createRunTables = () => ({
  lotClocks: createTable<LotClockRow, never, 'lot' | 'retention'>({
    name: 'lotClocks',
    indices: {},
    deadlines: { lot: (row) => row.lotDeadline, retention: (row) => row.retentionDeadline },
  }),
  lotWindows: createTable<LotWindowRow, never, 'window'>({
    name: 'lotWindows',
    indices: {},
    deadlines: { window: (row) => row.windowDeadline },
  }),
  submissions: createTable<SubmissionRow, never, 'submission'>({
    name: 'submissions',
    indices: {},
    deadlines: {
      submission: (row) => (row.state === SubmissionState.Opened ? never : row.submissionDeadline),
    },
  }),
  sampleRuns: createTable<SampleRunRow, 'lot' | 'lotState', 'run'>({
    name: 'sampleRuns',
    indices: { lot: (row) => row.lot, lotState: (row) => `${row.lot}/${row.state}` },
    deadlines: { run: (row) => (row.state === RunState.Waiting ? row.runDeadline : never) },
  }),
  fetches: createTable<FetchRow, 'lot', 'fetch'>({
    name: 'fetches',
    indices: { lot: (row) => (row.state === FetchState.Waiting ? row.lot : undefined) },
    deadlines: {
      fetch: (row) => {
        if (row.state !== FetchState.Waiting) return never;
        return row.isConfirmed ? row.fetchDeadline : row.ledgerDeadline;
      },
    },
  }),
  ledgerProposals: createTable<LedgerProposalRow, 'subject', 'resend'>({
    name: 'ledgerProposals',
    indices: { subject: (row) => `${row.lot}/${row.purpose}` },
    deadlines: { resend: (row) => row.resendDeadline },
  }),
});

const createBodyTables = () => ({
  bodyCopies: createTable<BodyCopyRow, 'body' | 'bodyState', 'copy'>({
    name: 'bodyCopies',
    indices: { body: (row) => row.body, bodyState: (row) => `${row.body}/${row.state}` },
    deadlines: { copy: (row) => row.copyDeadline },
  }),
  bodyReads: createTable<BodyReadRow, 'body' | 'reader' | 'readerState', 'read'>({
    name: 'bodyReads',
    indices: {
      body: (row) => row.body,
      reader: (row) => row.reader,
      readerState: (row) => `${row.reader}/${row.state}`,
    },
    deadlines: { read: (row) => (row.state === ReadState.Pending ? row.readDeadline : never) },
  }),
  bodyLoads: createRowQueue<BodyLoadRequest>('bodyLoads', RowReader.Port),
  bodyArrivals: createRowQueue<BodyLoadResult>('bodyArrivals', RowReader.System),
  bodyReceipts: createRowQueue<ReceivedBody>('bodyReceipts', RowReader.Port),
  /** Bodies that the port has to send to another daemon or write locally. */
  bodySends: createRowQueue<BodySendRequest>('bodySends', RowReader.Port),
  /** Bodies received from other daemons that the port has to write. */
  bodyWrites: createRowQueue<BodyWriteRequest>('bodyWrites', RowReader.Port),
  /** Results of the port's writes. */
  bodyFacts: createRowQueue<BodyWriteResult>('bodyFacts', RowReader.System),
  /** Lots whose bodies the port has to delete. */
  bodyDeletions: createRowQueue<LotId>('bodyDeletions', RowReader.Port),
});

/** Creates the tables and queues of rollouts. */
export const createRolloutTables = () => ({
  ...createReplicatedTables(),
  ...createRunTables(),
  ...createBodyTables(),
});
export type RolloutTables = ReturnType<typeof createRolloutTables>;
