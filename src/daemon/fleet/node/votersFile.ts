/**
 * Stores the initial voters of the replicated log in the data folder at the first start of an
 * installation. Later starts read this file, because by then the configured control daemons may
 * differ from the initial ones.
 */
import {
  closeSync,
  fsyncSync,
  mkdirSync,
  openSync,
  readFileSync,
  renameSync,
  writeSync,
} from 'node:fs';
import { join } from 'node:path';
import { Result } from 'neverthrow';
import * as z from 'zod';

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

/** Stores the voters in one step, so that a power loss leaves either no file or a complete one. */
const writeVoters = (folder: string, voters: readonly string[]): void => {
  mkdirSync(folder, { recursive: true });
  const unfinishedPath = `${votersPath(folder)}.new`;
  const descriptor = openSync(unfinishedPath, 'w');
  writeSync(descriptor, JSON.stringify(voters));
  fsyncSync(descriptor);
  closeSync(descriptor);
  renameSync(unfinishedPath, votersPath(folder));
  syncPath(folder);
};

/**
 * Returns the voters stored in `folder`. If none are stored, the first start of the installation
 * stores and returns `configuredVoters`, and any other start returns an empty list.
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
