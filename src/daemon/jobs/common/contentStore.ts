/**
 * Storage interface of the port of contents. Daemons store contents on disk; simulations with virtual
 * time keep them in memory.
 */
import type { Content } from '../../../service/jobs/common/contentMessages.js';
import type { StoredContent } from '../../../service/jobs/common/contentTables.js';
import type { JobId } from '../../../service/jobs/common/jobTables.js';

/** Stores contents by job; a content that is written twice is stored once. */
export interface ContentStore {
  /** Calls back when all contents are synced (`true`) or the write has failed (`false`). */
  readonly write: (
    job: JobId,
    contents: readonly Content[],
    onDidWrite: (isStored: boolean) => void,
  ) => void;
  /** Calls back with all contents that can be read; those that are damaged are left out. */
  readonly readAll: (onDidRead: (contents: readonly StoredContent[]) => void) => void;
  readonly deleteJob: (job: JobId) => void;
}
