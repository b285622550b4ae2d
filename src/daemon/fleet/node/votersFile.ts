/**
 * The first voters of the log, kept on disk from the first start on: later starts of a daemon are told of
 * other control daemons.
 */
import { closeSync, fsyncSync, mkdirSync, openSync, readFileSync, writeSync } from 'node:fs';
import { join } from 'node:path';
import { Result } from 'neverthrow';
import { z } from 'zod';

const votersSchema = z.array(z.string());

const votersPath = (folder: string): string => join(folder, 'voters.json');

const readVoters = Result.fromThrowable(
  (folder: string) => votersSchema.parse(JSON.parse(readFileSync(votersPath(folder), 'utf8'))),
  () => 'absent' as const,
);

const syncPath = (path: string): void => {
  const descriptor = openSync(path, 'r');
  fsyncSync(descriptor);
  closeSync(descriptor);
};

const writeVoters = (folder: string, voters: readonly string[]): void => {
  mkdirSync(folder, { recursive: true });
  const descriptor = openSync(votersPath(folder), 'w');
  writeSync(descriptor, JSON.stringify(voters));
  fsyncSync(descriptor);
  closeSync(descriptor);
  syncPath(folder);
};

/**
 * The voters of an installation as a daemon knows them: those that it kept, or at the first start of the
 * installation the ones that it is told of, which it then keeps.
 */
export const loadOrStoreVoters = (
  folder: string,
  configuredVoters: readonly string[],
  isFirstStart: boolean,
): readonly string[] =>
  readVoters(folder).unwrapOr(undefined) ??
  ((): readonly string[] => {
    if (!isFirstStart) return [];
    writeVoters(folder, configuredVoters);
    return configuredVoters;
  })();
