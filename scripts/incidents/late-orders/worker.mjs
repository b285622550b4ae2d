/* eslint-disable n/no-process-exit -- the process ends with the one that started it */
/**
 * A model worker as a process of its own, so that it can be stopped while its kernel still accepts
 * connections. It answers weight orders and tells the starting process of each one that it handled,
 * in the order in which it handled them, also of those that it refuses. It does not report itself;
 * `case.mjs` does that.
 */
import { createServer } from 'node:http';

const { id, host, backlog, handlingMilliseconds } = JSON.parse(process.argv[2]);
const loadMilliseconds = 300;
let version = 1;
let acceptedOrders = 0;
let isBusy = false;

const handleOrder = (order, remotePort, outgoing) => {
  process.send({ kind: 'order', order, remotePort, at: Date.now() });
  if (isBusy || (order.expected ?? acceptedOrders) !== acceptedOrders) {
    outgoing.writeHead(409).end();
    return;
  }
  if (order.version === version) {
    outgoing.writeHead(200).end();
    return;
  }
  acceptedOrders += 1;
  isBusy = true;
  setTimeout(() => {
    version = order.version;
    isBusy = false;
    process.send({ kind: 'loaded', version });
  }, loadMilliseconds);
  outgoing.writeHead(202).end();
};

/** Several threads that handle orders at once are represented by a random delay of each one. */
const handleSoon = (handle) => {
  if (handlingMilliseconds === 0) handle();
  else setTimeout(handle, Math.random() * handlingMilliseconds);
};

const server = createServer((incoming, outgoing) => {
  const { remotePort } = incoming.socket;
  const chunks = [];
  incoming.on('data', (chunk) => chunks.push(chunk));
  incoming.on('error', () => {});
  outgoing.on('error', () => {});
  incoming.on('end', () => {
    const expected = incoming.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      outgoing.writeHead(421, { 'not-run': '1' }).end();
    } else if (incoming.url === '/shallotquay/order') {
      const order = JSON.parse(Buffer.concat(chunks).toString('utf8'));
      handleSoon(() => handleOrder(order, remotePort, outgoing));
    } else if (incoming.url === '/shallotquay/report') {
      outgoing.writeHead(200).end(JSON.stringify({ seq: acceptedOrders, busy: isBusy }));
    } else {
      outgoing.writeHead(200, { 'instance-id': id }).end('{}');
    }
  });
});

process.on('disconnect', () => process.exit());
server.listen({ port: 0, host, backlog }, () =>
  process.send({ kind: 'listening', port: server.address().port }),
);
