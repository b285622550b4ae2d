/**
 * Starts and stops the processes of the demo and the path bench. This launcher is a development script and
 * not part of the product.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

const programFile = fileURLToPath(new URL('../../src/command/main/node/main.js', import.meta.url));
const stopTimeoutMilliseconds = 8_000;

/** The child processes of this process. */
export interface Processes {
  readonly startDaemon: (deploymentFile: string, name: string) => void;
  /** Starts a Node.js program as a process; resolves with the first message that it sends. */
  readonly startChild: <Message>(
    name: string,
    file: URL,
    parameters: readonly string[],
  ) => Promise<Message>;
  /** Sends SIGTERM to all processes, and SIGKILL to those that have not exited after 8 seconds. */
  readonly endAll: () => Promise<void>;
  /** Returns the names of the processes that have exited. */
  readonly lost: () => readonly string[];
}

const hasExited = (child: ChildProcess): boolean =>
  child.exitCode !== null || child.signalCode !== null;

const stopProcess = async (child: ChildProcess): Promise<void> => {
  if (hasExited(child)) return;
  const exited = once(child, 'exit');
  child.kill('SIGTERM');
  const timer = setTimeout(() => child.kill('SIGKILL'), stopTimeoutMilliseconds);
  await exited;
  clearTimeout(timer);
};

/** Creates a launcher without processes. */
export const createProcesses = (): Processes => {
  const children = new Map<string, ChildProcess>();

  const spawnChild = (name: string, file: string, parameters: readonly string[]): ChildProcess => {
    const child = spawn(process.execPath, [file, ...parameters], {
      stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    });
    children.set(name, child);
    return child;
  };

  return {
    startDaemon: (deploymentFile, name) => {
      spawnChild(name, programFile, ['run', deploymentFile, name, '--log-level', 'warn']);
    },
    startChild: async <Message>(name: string, file: URL, parameters: readonly string[]) => {
      const child = spawnChild(name, fileURLToPath(file), parameters);
      const [message] = (await once(child, 'message')) as [Message];
      return message;
    },
    endAll: async () => {
      await Promise.all([...children.values()].map(stopProcess));
    },
    lost: () => [...children].filter(([, child]) => hasExited(child)).map(([name]) => name),
  };
};
