/**
 * The schema of scenario files, and functions that list and read them. A scenario is a TOML file with a
 * title, an installation, the promises and failures that it covers, and its steps in order.
 */
import { readdirSync } from 'node:fs';
import { basename, join } from 'node:path';
import { err, type Result } from 'neverthrow';
import * as z from 'zod';
import { checkDocument } from '../../src/infrastructure/settings/common/checkDocument.js';
import {
  createSettingsError,
  type SettingsError,
} from '../../src/infrastructure/settings/common/settingsFault.js';
import { readDocument } from '../../src/infrastructure/settings/node/readSettings.js';
import { FailureName } from '../coverage/failures.js';
import { InvariantName } from '../invariants/invariant.js';
import { Capability } from '../system/capabilities.js';
import { InstallationName } from '../system/installations.js';
import { actionSchema } from './actions.js';
import { conditionSchema } from './conditions.js';

const millisecondsSchema = z.number().nonnegative();

export const StepKind = {
  /** Runs until a time after the start of the scenario, then executes the action. */
  At: 'at',
  /** Waits until a condition holds, then executes the action; fails after `within` milliseconds. */
  When: 'when',
  /** Waits until a condition holds; fails after `within` milliseconds. */
  Expect: 'expect',
  /** Fails if the condition holds at any time from this step to the end of the scenario. */
  Never: 'never',
} as const;

export const stepSchema = z.discriminatedUnion('step', [
  z.strictObject({ step: z.literal(StepKind.At), time: millisecondsSchema, action: actionSchema }),
  z.strictObject({
    step: z.literal(StepKind.When),
    within: millisecondsSchema,
    condition: conditionSchema,
    action: actionSchema,
  }),
  z.strictObject({
    step: z.literal(StepKind.Expect),
    within: millisecondsSchema,
    condition: conditionSchema,
  }),
  z.strictObject({ step: z.literal(StepKind.Never), condition: conditionSchema }),
]);
export type Step = z.infer<typeof stepSchema>;

export const scenarioSchema = z.strictObject({
  title: z.string(),
  installation: z.enum(InstallationName),
  seed: z.number().int(),
  /** Minimum duration of the run, in virtual milliseconds. */
  lasts: millisecondsSchema,
  /** The promises that the scenario covers; all invariants are checked in any case. */
  promises: z.array(z.enum(InvariantName)).min(1),
  failures: z.array(z.enum(FailureName)).default([]),
  /** The capabilities that the scenario requires; it does not run while one is missing. */
  needs: z.array(z.enum(Capability)).default([]),
  steps: z.array(stepSchema).min(1),
});
export type Scenario = z.infer<typeof scenarioSchema>;

/** A scenario and the name of its file without the extension. */
export interface ScenarioFile {
  readonly name: string;
  readonly scenario: Scenario;
}

/** Reads one scenario file; the error lists every fault in the file with its path. */
export const readScenario = (file: string): Result<ScenarioFile, SettingsError> =>
  readDocument(file)
    .andThen((document) => checkDocument(scenarioSchema, document, () => []))
    .map((scenario) => ({ name: basename(file, '.toml'), scenario }))
    .orElse((faults) => err(createSettingsError([{ file, faults }])));

/** Lists the paths of the scenario files in a folder, sorted by name. */
export const listScenarios = (folder: string): string[] =>
  readdirSync(folder)
    .filter((name) => name.endsWith('.toml'))
    .sort()
    .map((name) => join(folder, name));
