/**
 * Port of bodies (prompts of lots and texts of samples). It keeps a body in memory while a row
 * needs it, writes bodies to the store, and sends them to and receives them from other daemons.
 * Systems decide by identifiers only and never see the content.
 */
import { asBrand } from '../../../base/common/brand.js';
import type { Disposable } from '../../../base/common/disposable.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import type { BodyLoadRequest, BodySendRequest } from '../../../service/rollout/common/bodyRows.js';
import type { BodyId, DaemonId } from '../../../service/world/common/identifiers.js';
import type { World } from '../../../service/world/common/world.js';
import type { BodyStore, StoredBody } from './bodyStore.js';

/** Port of bodies; `drain` runs after each tick, before the drain of the peer port. */
export interface BodyPort extends Disposable {
  /** Keeps a body created by this daemon in memory until its copies are stored. */
  readonly addLocalBody: (body: BodyId, content: string) => void;
  /** Returns a body loaded for a pending read; undefined if it is not in memory. */
  readonly getContent: (body: BodyId) => string | undefined;
  /** Number of bodies in memory. */
  readonly size: () => number;
  readonly drain: () => void;
}

/** Finds the text that an attempt has generated for a body. */
export type FindSampleText = (body: BodyId) => string | undefined;

interface BodyWrite extends StoredBody {
  readonly from: DaemonId;
}

/** Creates the port. `wake` requests a tick after rows were appended. */
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

  const reportWriteOutcome = (bodies: readonly BodyWrite[], stored: boolean): void => {
    bodies.forEach(({ body, from }) => world.bodyFacts.append({ body, from, stored }));
    wake();
  };

  const writeBodies = (bodies: readonly BodyWrite[]): void => {
    if (bodies.length === 0) return;
    store.write(bodies, (outcome) => {
      outcome.mapErr(() => world.metrics.count('bodies.notWritten', bodies.length));
      reportWriteOutcome(bodies, outcome.isOk());
    });
  };

  const sendToPeer = ({ body, lot, to }: BodySendRequest, content: string): void => {
    world.outgoingMessages.append({ to, message: { kind: 'bodyOffered', body, lot, content } });
  };

  /** Sends bodies to other daemons and returns those that this daemon must write itself. */
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

  const loadBody = ({ body, lot, recipient }: BodyLoadRequest): void =>
    store.read(lot, body, (content) => {
      if (recipient === self) handleLoadedBody(body, content);
      else sendLoadedBody(recipient, body, content);
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
