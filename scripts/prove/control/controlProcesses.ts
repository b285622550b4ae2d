/**
 * Starts the daemons of a proof as processes on loopback, and an upstream that records which daemon sent
 * each order.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { fileURLToPath } from 'node:url';
import type { UnionMember } from '../../../src/base/common/handlers.js';
import { delay } from '../../../src/base/node/delay.js';
import { orderSchema } from '../../../src/service/protocol/common/engineProtocol.js';
import type { ControlRequest, ControlReport } from './controlMessages.js';

const programFile = fileURLToPath(new URL('./daemonProcess.js', import.meta.url));
const electionTimeoutMilliseconds = 30_000;
const pollIntervalMilliseconds = 20;

/** An order that the upstream has received; `at` is in milliseconds of the clock of this process. */
export interface RecordedOrder {
  readonly daemon: string;
  readonly order: string;
  readonly at: number;
}

/** The upstream; each daemon uses a separate path, which identifies it as the sender of an order. */
export interface OrderRecorder {
  readonly addressFor: (daemon: string) => string;
  readonly orders: readonly RecordedOrder[];
  readonly close: () => void;
}

/** Starts the upstream on a free port of the loopback interface. */
export const openOrderRecorder = async (): Promise<OrderRecorder> => {
  const orders: RecordedOrder[] = [];

  const createState = () => ({
    incarnation: 1,
    weightVersion: null,
    models: [],
    adapters: [],
    role: 'worker',
    highestFencing: null,
    ordersDone: orders.map(({ order }) => order),
  });

  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const daemon = request.url!.split('/')[1]!;
      if (request.method === 'POST') {
        const { order } = orderSchema.parse(JSON.parse(Buffer.concat(chunks).toString()));
        orders.push({ daemon, order, at: performance.now() });
      }
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify(createState()));
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return {
    addressFor: (daemon) => `http://127.0.0.1:${port}/${daemon}`,
    orders,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};

/** The process of one daemon. */
export interface ControlProcess {
  readonly name: string;
  readonly sendRequest: (request: ControlRequest) => void;
  readonly onDidReport: (listener: (report: ControlReport) => void) => void;
  /** Sends a request and resolves with the next report of the same kind. */
  readonly answer: <Kind extends 'status' | 'remembered'>(
    message: UnionMember<ControlRequest, Kind>,
  ) => Promise<UnionMember<ControlReport, Kind>>;
  readonly signal: (signal: NodeJS.Signals) => void;
  /** Kills the process with SIGKILL and resolves when it has exited. */
  readonly kill: () => Promise<void>;
}

/** Starts a daemon and resolves when it is ready. */
export const startControlProcess = async (
  deploymentFile: string,
  name: string,
  upstreamAddress: string,
): Promise<ControlProcess> => {
  const child: ChildProcess = spawn(
    process.execPath,
    [programFile, deploymentFile, name, upstreamAddress],
    { stdio: ['ignore', 'ignore', 'inherit', 'ipc'] },
  );
  const sendRequest = (message: ControlRequest): void => {
    if (child.connected) child.send(message);
  };
  const onDidReport = (listener: (report: ControlReport) => void): void => {
    child.on('message', listener);
  };
  await once(child, 'message');

  const answer = <Kind extends 'status' | 'remembered'>(
    message: UnionMember<ControlRequest, Kind>,
  ): Promise<UnionMember<ControlReport, Kind>> =>
    new Promise((resolve) => {
      const handleReport = (report: ControlReport): void => {
        if (report.kind !== (message as ControlRequest).kind) return;
        child.off('message', handleReport);
        resolve(report as UnionMember<ControlReport, Kind>);
      };
      child.on('message', handleReport);
      sendRequest(message);
    });

  return {
    name,
    sendRequest,
    onDidReport,
    answer,
    signal: (signal) => child.kill(signal),
    kill: async () => {
      if (child.exitCode !== null || child.signalCode !== null) return;
      const exited = once(child, 'exit');
      child.kill('SIGKILL');
      await exited;
    },
  };
};

/** Waits until one of the daemons can act as leader; throws after 30 seconds. */
export const waitForLeader = async (
  processes: readonly ControlProcess[],
): Promise<ControlProcess> => {
  const deadline = performance.now() + electionTimeoutMilliseconds;
  while (performance.now() < deadline) {
    const reports = await Promise.all(
      processes.map((controlProcess) => controlProcess.answer({ kind: 'status' })),
    );
    const position = reports.findIndex(({ acting }) => acting);
    if (position >= 0) return processes[position]!;
    await delay(pollIntervalMilliseconds);
  }
  throw new Error(
    `no daemon became able to act as leader within ${electionTimeoutMilliseconds} ms`,
  );
};
