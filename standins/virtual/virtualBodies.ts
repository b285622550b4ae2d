/**
 * Body storage on virtual time: the production body port over an in-memory store that survives
 * restarts of the daemon. The text of an attempt is derived from its identifier.
 */
import { err, ok } from 'neverthrow';
import type { Milliseconds } from '../../src/base/common/time.js';
import { createBodyPort, type BodyPort } from '../../src/daemon/rollout/common/bodyPort.js';
import type { BodyStore } from '../../src/daemon/rollout/common/bodyStore.js';
import type { BodyId, LotId } from '../../src/service/world/common/identifiers.js';
import type { VirtualContext, VirtualPort } from './virtualInstallation.js';

const syncDelayMilliseconds: Milliseconds = 2;

/** The body stores of all daemons of one installation. */
export interface VirtualBodies {
  readonly createPort: (context: VirtualContext) => VirtualPort;
  /** The body port of the running process of a daemon. */
  readonly portOf: (daemon: string) => BodyPort;
  /** Offers a body to a daemon before a lot that refers to it is submitted. */
  readonly offerBody: (daemon: string, body: BodyId, content: string) => void;
  /** Deletes all bodies that a daemon has stored. */
  readonly wipe: (daemon: string) => void;
  /** Makes every later write of a daemon fail. */
  readonly failWrites: (daemon: string) => void;
  readonly bodiesOf: (daemon: string) => ReadonlyMap<BodyId, string>;
}

/** The text that a fake engine generates for an attempt. */
export const virtualTextOf = (body: BodyId): string => `text of ${body}`;

/** Creates empty stores. */
export const createVirtualBodies = (): VirtualBodies => {
  const disks = new Map<string, Map<BodyId, string>>();
  const failingDisks = new Set<string>();
  const ports = new Map<string, BodyPort>();

  const diskOf = (daemon: string): Map<BodyId, string> => {
    const disk = disks.get(daemon) ?? new Map<BodyId, string>();
    disks.set(daemon, disk);
    return disk;
  };

  const storeOf = ({ daemon: { name }, schedule }: VirtualContext): BodyStore => ({
    write: (bodies, onDidWrite) =>
      schedule(syncDelayMilliseconds, () => {
        if (failingDisks.has(name)) {
          onDidWrite(err({ kind: 'bodyNotWritten', message: 'The disk is broken; replace it.' }));
          return;
        }
        bodies.forEach(({ body, content }) => diskOf(name).set(body, content));
        onDidWrite(ok(undefined));
      }),
    read: (_, body, onDidRead) =>
      schedule(syncDelayMilliseconds, () => onDidRead(diskOf(name).get(body))),
    deleteLot: (lot: LotId) =>
      [...diskOf(name).keys()]
        .filter((body) => body.startsWith(`${lot}/`))
        .forEach((body) => diskOf(name).delete(body)),
  });

  return {
    createPort: (context) => {
      const { world } = context.daemon.core;
      const port = createBodyPort(world, storeOf(context), virtualTextOf, () => {});
      ports.set(context.daemon.name, port);
      return { drain: port.drain };
    },
    portOf: (daemon) => ports.get(daemon)!,
    offerBody: (daemon, body, content) => ports.get(daemon)!.addLocalBody(body, content),
    wipe: (daemon) => {
      disks.delete(daemon);
    },
    failWrites: (daemon) => {
      failingDisks.add(daemon);
    },
    bodiesOf: diskOf,
  };
};
