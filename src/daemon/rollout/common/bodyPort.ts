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
  readonly offer: (body: BodyId, content: string) => void;
  /** A body that a reader has in memory. */
  readonly contentOf: (body: BodyId) => string | undefined;
  /** Bodies in memory. */
  readonly size: () => number;
  readonly drain: () => void;
}

/** Finds the text of a body that an attempt has made. */
export type FindText = (body: BodyId) => string | undefined;

interface WrittenBody extends StoredBody {
  readonly from: DaemonId;
}

/** Creates the port. `wake` asks for a tick after rows were appended. */
export const createBodyPort = (
  world: World,
  store: BodyStore,
  findText: FindText,
  wake: () => void,
): BodyPort => {
  const self = asBrand<DaemonId>(world.self.name);
  const offered = new Map<BodyId, string>();
  const read = new Map<BodyId, string>();
  const copyChanges = world.bodyCopies.createChangeReader(RowReader.Port);
  const readChanges = world.bodyReads.createChangeReader(RowReader.Port);

  const textOf = (body: BodyId): string | undefined => offered.get(body) ?? findText(body);

  const reportWritten = (bodies: readonly WrittenBody[], stored: boolean): void => {
    bodies.forEach(({ body, from }) => world.bodyFacts.append({ body, from, stored }));
    wake();
  };

  const writeAll = (bodies: readonly WrittenBody[]): void => {
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
  const takeSends = (): WrittenBody[] =>
    world.bodySends.takeAll().flatMap((send) => {
      const content = textOf(send.body);
      if (content === undefined) return [];
      if (send.to === self) return [{ body: send.body, lot: send.lot, content, from: self }];
      sendToPeer(send, content);
      return [];
    });

  const keep = (body: BodyId, content: string | undefined): void => {
    const isWanted = world.bodyReads.count('body', body) > 0;
    if (content !== undefined && isWanted) read.set(body, content);
    world.bodyArrivals.append({ body, found: content !== undefined });
    wake();
  };

  const give = (to: DaemonId, body: BodyId, content: string | undefined): void => {
    const message = { kind: 'bodyGiven' as const, body, content: content ?? null };
    world.outgoingMessages.append({ to, message });
    wake();
  };

  const load = ({ body, lot, recipient: reader }: BodyLoadRequest): void =>
    store.read(lot, body, (content) => {
      if (reader === self) keep(body, content);
      else give(reader, body, content);
    });

  const forgetUnneeded = (): void => {
    copyChanges.take().forEach((id) => {
      const body = asBrand<BodyId>(id.slice(0, id.lastIndexOf('@')));
      if (world.bodyCopies.count('body', body) === 0) offered.delete(body);
    });
    readChanges.take().forEach((id) => {
      const body = asBrand<BodyId>(id.slice(id.indexOf('|') + 1));
      if (world.bodyReads.count('body', body) === 0) read.delete(body);
    });
  };

  return {
    offer: (body, content) => {
      offered.set(body, content);
    },
    contentOf: (body) => read.get(body),
    size: () => offered.size + read.size,
    drain: () => {
      world.bodyReceipts.takeAll().forEach(({ body, content }) => {
        if (world.bodyReads.count('body', body) > 0) read.set(body, content);
      });
      writeAll([...takeSends(), ...world.bodyWrites.takeAll()]);
      world.bodyLoads.takeAll().forEach(load);
      world.bodyDeletions.takeAll().forEach(store.deleteLot);
      forgetUnneeded();
    },
    dispose: () => {
      copyChanges.dispose();
      readChanges.dispose();
    },
  };
};
