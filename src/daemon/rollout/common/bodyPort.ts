/**
 * The port of bodies: has their bytes in memory while a row needs them, writes them to the store, sends
 * them to other daemons and takes them from there. Decisions see identifiers only.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { Disposable } from '../../../base/common/disposable.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import type { BodyLoadRequest, BodySendRequest } from '../../../service/rollout/common/bodyRows.js';
import type { BodyId, DaemonId } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';
import type { BodyStore, StoredBody } from './bodyStore.js';

/** The port; `drain` is run after each tick, before the port of the peers. */
export interface BodyPort extends Disposable {
  /** Keeps a body that was made here until its copies are stored. */
  readonly addLocalBody: (body: BodyId, content: string) => void;
  /** A body that a reader has in memory. */
  readonly getContent: (body: BodyId) => string | undefined;
  /** Bodies in memory. */
  readonly size: () => number;
  readonly drain: () => void;
}

/** Finds the text of a body that an attempt has made. */
export type FindSampleText = (body: BodyId) => string | undefined;

interface BodyWrite extends StoredBody {
  readonly from: DaemonId;
}

/** Creates the port. `wake` asks for a tick after rows were appended. */
export const createBodyPort = (
  world: World,
  store: BodyStore,
  findSampleText: FindSampleText,
  wake: () => void,
): BodyPort => {
  const self = asBrand<DaemonId>(world.self.name);
  const localBodies = new Map<BodyId, string>();
  const loadedBodies = new Map<BodyId, string>();
  const copyChanges = world.bodyCopies.createChangeReader(RowReader.Port);
  const readChanges = world.bodyReads.createChangeReader(RowReader.Port);

  const findContent = (body: BodyId): string | undefined =>
    localBodies.get(body) ?? findSampleText(body);

  const reportWritten = (bodies: readonly BodyWrite[], stored: boolean): void => {
    bodies.forEach(({ body, from }) => world.bodyFacts.append({ body, from, stored }));
    wake();
  };

  const writeBodies = (bodies: readonly BodyWrite[]): void => {
    if (bodies.length === 0) return;
    store.write(bodies, (outcome) => {
      outcome.mapErr(() => world.metrics.count('bodies.notWritten', bodies.length));
      reportWritten(bodies, outcome.isOk());
    });
  };

  const sendToPeer = ({ body, lot, to }: BodySendRequest, content: string): void => {
    world.outgoingMessages.append({ to, message: { kind: 'bodyOffered', body, lot, content } });
  };

  /** Sends what goes to other daemons, and gives what this daemon has to write itself. */
  const processSends = (): BodyWrite[] =>
    world.bodySends.takeAll().flatMap((send) => {
      const content = findContent(send.body);
      if (content === undefined) return [];
      if (send.to === self) return [{ body: send.body, lot: send.lot, content, from: self }];
      sendToPeer(send, content);
      return [];
    });

  const handleLoadedBody = (body: BodyId, content: string | undefined): void => {
    const isRequested = world.bodyReads.count('body', body) > 0;
    if (content !== undefined && isRequested) loadedBodies.set(body, content);
    world.bodyArrivals.append({ body, found: content !== undefined });
    wake();
  };

  const sendLoadedBody = (to: DaemonId, body: BodyId, content: string | undefined): void => {
    const message = { kind: 'bodyGiven' as const, body, content: content ?? null };
    world.outgoingMessages.append({ to, message });
    wake();
  };

  const loadBody = ({ body, lot, recipient: reader }: BodyLoadRequest): void =>
    store.read(lot, body, (content) => {
      if (reader === self) handleLoadedBody(body, content);
      else sendLoadedBody(reader, body, content);
    });

  const evictUnneeded = (): void => {
    copyChanges.take().forEach((id) => {
      const body = asBrand<BodyId>(id.slice(0, id.lastIndexOf('@')));
      if (world.bodyCopies.count('body', body) === 0) localBodies.delete(body);
    });
    readChanges.take().forEach((id) => {
      const body = asBrand<BodyId>(id.slice(id.indexOf('|') + 1));
      if (world.bodyReads.count('body', body) === 0) loadedBodies.delete(body);
    });
  };

  return {
    addLocalBody: (body, content) => {
      localBodies.set(body, content);
    },
    getContent: (body) => loadedBodies.get(body),
    size: () => localBodies.size + loadedBodies.size,
    drain: () => {
      world.bodyReceipts.takeAll().forEach(({ body, content }) => {
        if (world.bodyReads.count('body', body) > 0) loadedBodies.set(body, content);
      });
      writeBodies([...processSends(), ...world.bodyWrites.takeAll()]);
      world.bodyLoads.takeAll().forEach(loadBody);
      world.bodyDeletions.takeAll().forEach(store.deleteLot);
      evictUnneeded();
    },
    dispose: () => {
      copyChanges.dispose();
      readChanges.dispose();
    },
  };
};
