/**
 * The contents of jobs with home regions on virtual time: the production ports over in-memory stores
 * that survive restarts of the daemon.
 */
import { createHash } from 'node:crypto';
import type { Milliseconds } from '../../src/base/common/time.js';
import type { ContentStore } from '../../src/daemon/jobs/common/contentStore.js';
import { createContentPort, type ContentPort } from '../../src/daemon/jobs/common/contentPort.js';
import { createJobReadPort, type JobReadPort } from '../../src/daemon/jobs/node/jobReadPort.js';
import {
  createProposalPort,
  type ProposalPort,
} from '../../src/daemon/proposals/node/proposalPort.js';
import type { JobId } from '../../src/service/jobs/common/jobTables.js';
import type { VirtualContext, VirtualPort } from './virtualInstallation.js';

type Contents = Map<string, Uint8Array<ArrayBuffer>>;

/** The ports of the running process of a daemon. */
export interface ContentPorts {
  readonly contents: ContentPort;
  readonly reads: JobReadPort;
  readonly proposals: ProposalPort;
}

/** The content stores of all daemons of one installation. */
export interface VirtualContents {
  readonly createPort: (context: VirtualContext) => VirtualPort;
  readonly portsOf: (daemon: string) => ContentPorts;
  /** The synced contents of a job on the disk of a daemon, by their digests. */
  readonly contentsOf: (daemon: string, job: string) => ReadonlyMap<string, Uint8Array>;
  /** Deletes all contents that a daemon has stored. */
  readonly wipe: (daemon: string) => void;
  /** Makes every later write of a daemon fail, like a full disk. */
  readonly failWrites: (daemon: string) => void;
  /** Sets the time that a write of a daemon takes. */
  readonly setSyncDelay: (daemon: string, delay: Milliseconds) => void;
}

const defaultSyncDelay: Milliseconds = 2;

const computeDigest = (bytes: Uint8Array): string =>
  createHash('sha256').update(bytes).digest('base64url');

/** Creates empty stores. */
export const createVirtualContents = (): VirtualContents => {
  const disks = new Map<string, Map<JobId, Contents>>();
  const failing = new Set<string>();
  const delays = new Map<string, Milliseconds>();
  const ports = new Map<string, ContentPorts>();

  const diskOf = (daemon: string): Map<JobId, Contents> => {
    const disk = disks.get(daemon) ?? new Map<JobId, Contents>();
    disks.set(daemon, disk);
    return disk;
  };

  const createStore = ({ daemon: { name }, schedule }: VirtualContext): ContentStore => ({
    write: (job, contents, onDidWrite) =>
      schedule(delays.get(name) ?? defaultSyncDelay, () => {
        const isStored = !failing.has(name);
        if (isStored) {
          const stored = diskOf(name).get(job) ?? (new Map() as Contents);
          contents.forEach(({ digest, bytes }) => stored.set(digest, bytes));
          diskOf(name).set(job, stored);
        }
        onDidWrite(isStored);
      }),
    readAll: (onDidRead) =>
      schedule(defaultSyncDelay, () =>
        onDidRead(
          [...diskOf(name)].flatMap(([job, contents]) =>
            [...contents].map(([digest, bytes]) => ({ job, digest, bytes })),
          ),
        ),
      ),
    deleteJob: (job) => {
      diskOf(name).delete(job);
    },
  });

  return {
    createPort: (context) => {
      const { world } = context.daemon.core;
      const clock = context.now;
      const wake = (): void => context.schedule(0, () => {});
      const store = createStore(context);
      const contents = createContentPort(world, store, computeDigest, clock, wake);
      const reads = createJobReadPort(world, clock, wake);
      const proposals = createProposalPort(world, clock, wake);
      ports.set(context.daemon.name, { contents, reads, proposals });
      return {
        drain: () => {
          proposals.drain();
          reads.drain();
          contents.drain();
        },
      };
    },
    portsOf: (daemon) => ports.get(daemon)!,
    contentsOf: (daemon, job) => diskOf(daemon).get(job as JobId) ?? new Map(),
    wipe: (daemon) => {
      disks.delete(daemon);
    },
    failWrites: (daemon) => {
      failing.add(daemon);
    },
    setSyncDelay: (daemon, delay) => {
      delays.set(daemon, delay);
    },
  };
};
