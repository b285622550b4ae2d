import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { connectionResetCode, requireOrderlyEnd } from '../../node/orderlyEnd.js';

const openConnection = async (
  t: ExecutionContext,
  handle: (peer: Socket) => void,
): Promise<Socket> => {
  const server = createServer({ allowHalfOpen: true }, (peer) => {
    peer.on('error', () => {});
    t.teardown(() => peer.destroy());
    handle(peer);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const socket = requireOrderlyEnd(connect({ port, host: '127.0.0.1', allowHalfOpen: true }));
  t.teardown(() => socket.destroy());
  return socket;
};

/** Reads a connection to its end and returns the bytes, and the code if it failed. */
const readToEnd = (socket: Socket): Promise<{ readonly text: string; readonly code?: string }> =>
  new Promise((resolve) => {
    let text = '';
    socket.on('data', (bytes) => {
      text += bytes.toString();
    });
    socket.once('end', () => resolve({ text }));
    socket.once('error', ({ code }: NodeJS.ErrnoException) => resolve({ text, code: code! }));
  });

const pendingWrites: Readonly<Record<string, number>> = {
  'nothing to write': 1,
  'writes that wait': 8 * 1024 * 1024,
};

Object.entries(pendingWrites).forEach(([pending, byteCount]) => {
  test(`a reset together with the last bytes is no end, with ${pending}`, async (t) => {
    const socket = await openConnection(t, (peer) => {
      peer.once('data', () => {
        peer.pause();
        peer.write('part');
        peer.resetAndDestroy();
      });
    });
    socket.write(Buffer.alloc(byteCount));
    t.is((await readToEnd(socket)).code, connectionResetCode);
  });

  test(`an orderly end after the last bytes is one, with ${pending}`, async (t) => {
    const socket = await openConnection(t, (peer) => {
      peer.once('data', () => {
        peer.pause();
        peer.end('whole');
      });
    });
    socket.write(Buffer.alloc(byteCount));
    t.deepEqual(await readToEnd(socket), { text: 'whole' });
  });
});

test('an orderly end is one for a side that has ended before', async (t) => {
  const socket = await openConnection(t, (peer) => {
    peer.resume();
    peer.once('end', () => peer.end('whole'));
  });
  socket.end('all');
  t.deepEqual(await readToEnd(socket), { text: 'whole' });
});
