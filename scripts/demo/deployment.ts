/**
 * Creates the deployment of the demo: the Kestrelkloof example on free loopback ports, with its files in a
 * new temporary folder.
 */
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'smol-toml';
import { loadInstallation } from '../../src/index.js';

const exampleFile = fileURLToPath(new URL('../../../examples/kestrelkloof.toml', import.meta.url));

/** Short, so that the demo stops quickly. */
const adviceMilliseconds = 500;

/** The deployment of the demo. */
export interface DemoDeployment {
  readonly file: string;
  readonly eventFolder: string;
  readonly names: readonly string[];
  /** Names of the daemons that vote in the replicated log. */
  readonly voterNames: readonly string[];
  /** `host:port` of every entry, in the order of the names. */
  readonly callerAddresses: readonly string[];
}

const reserveFreePort = (): Promise<{
  readonly port: number;
  readonly release: () => Promise<void>;
}> =>
  new Promise((resolvePort) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const address = server.address();
      const port = typeof address === 'object' && address !== null ? address.port : 0;
      const release = (): Promise<void> =>
        new Promise((resolveRelease) => {
          server.close(() => resolveRelease());
        });
      resolvePort({ port, release });
    });
  });

const findFreePorts = async (count: number): Promise<number[]> => {
  const reservedPorts = await Promise.all(Array.from({ length: count }, reserveFreePort));
  await Promise.all(reservedPorts.map(({ release }) => release()));
  return reservedPorts.map(({ port }) => port);
};

/** Writes the deployment and settings files of the demo; throws if the example is invalid. */
export const writeDemoDeployment = async (): Promise<DemoDeployment> => {
  const installation = loadInstallation(exampleFile);
  if (installation.isErr()) throw new Error(installation.error.message);
  const { deployment, folder: exampleFolder } = installation.value;
  const folder = mkdtempSync(join(tmpdir(), 'shallotquay-demo-'));
  const ports = await findFreePorts(deployment.daemons.length * 2);
  const daemons = deployment.daemons.map((daemon, index) => ({
    ...daemon,
    callerAddress: `127.0.0.1:${ports[2 * index]}`,
    peerAddress: `127.0.0.1:${ports[2 * index + 1]}`,
    ...(daemon.dataFolder === undefined ? {} : { dataFolder: daemon.name }),
  }));
  const file = join(folder, 'demo.toml');
  const tree = readFileSync(resolve(exampleFolder, deployment.tree), 'utf8');
  writeFileSync(join(folder, 'demo.tree.toml'), tree);
  writeFileSync(
    file,
    stringify({
      ...deployment,
      tree: 'demo.tree.toml',
      eventFolder: 'events',
      timing: { ...deployment.timing, adviceMilliseconds },
      daemons,
    }),
  );
  return {
    file,
    eventFolder: join(folder, 'events'),
    names: daemons.map((daemon) => daemon.name),
    voterNames: daemons
      .filter(({ roles }) => roles.includes('control'))
      .map((daemon) => daemon.name),
    callerAddresses: daemons.map((daemon) => daemon.callerAddress),
  };
};
