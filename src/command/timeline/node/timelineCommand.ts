/**
 * `shallotquay timeline FOLDER`: merges the event files of all processes into one ordered timeline.
 */
import { writeFileSync } from 'node:fs';
import { Result } from 'neverthrow';
import {
  formatEvent,
  mergeTimelines,
  type TimelineEvent,
} from '../../../infrastructure/timeline/common/timelineEvent.js';
import {
  listTimelineFiles,
  readTimelineFile,
  type TimelineFileError,
} from '../../../infrastructure/timeline/node/timelineFile.js';
import { filterEvents, type EventFilter } from '../../../service/timeline/common/eventFilter.js';
import { formatTimelinePage } from '../../../service/timeline/common/timelinePage.js';
import { ExitCode } from '../../main/common/exitCode.js';
import type { RegisterSubcommand, SubcommandContext } from '../../main/node/subcommand.js';

const helpText = `
Events are ordered by hybrid logical clocks: a cause precedes its effect even if
the clocks of the VMs differ.

Example:
  shallotquay timeline data/kestrelkloof/events --about request-gp-north-1`;

interface TimelineOptions extends EventFilter {
  readonly last?: string;
  readonly html?: string;
}

/** Reads and merges all event files in a folder. */
export const readMergedTimeline = (folder: string): Result<TimelineEvent[], TimelineFileError> =>
  listTimelineFiles(folder)
    .andThen((files) => Result.combine(files.map(readTimelineFile)))
    .map(mergeTimelines);

const selectLast = <Value>(
  values: readonly Value[],
  count: string | undefined,
): readonly Value[] => (count === undefined ? values : values.slice(-Number(count)));

const writeText = (events: readonly TimelineEvent[], context: SubcommandContext): void =>
  events.forEach((event) => context.writeOutput(`${formatEvent(event)}\n`));

const writePage = (
  events: readonly TimelineEvent[],
  file: string,
  context: SubcommandContext,
): void =>
  Result.fromThrowable(
    () => writeFileSync(file, formatTimelinePage(events)),
    () => `The file ${file} cannot be written; specify a file in an existing folder.`,
  )().match(
    () => context.writeOutput(`${file} now contains ${events.length} events\n`),
    (message) => {
      context.writeError(`${message}\n`);
      context.setExitCode(ExitCode.Failure);
    },
  );

const printTimeline = (
  folder: string,
  options: TimelineOptions,
  context: SubcommandContext,
): void =>
  readMergedTimeline(folder).match(
    (events) => {
      const selected = selectLast(filterEvents(events, options), options.last);
      if (options.html === undefined) writeText(selected, context);
      else writePage(selected, options.html, context);
    },
    (error) => {
      context.writeError(`${error.message}\n`);
      context.setExitCode(ExitCode.InvalidInput);
    },
  );

/** Registers `timeline` with the program. */
export const registerTimelineCommand: RegisterSubcommand = (program, context) => {
  program
    .command('timeline')
    .description('merge the event files of all processes into one timeline')
    .argument('<folder>', 'folder of the event files, as configured in the setting eventFolder')
    .option('--request <id>', 'only events of a request and its attempts')
    .option('--sample <id>', 'only events of a sample, its requests and their attempts')
    .option('--upstream <name>', 'only events of an upstream')
    .option('--revision <number>', 'only events of a revision of the settings')
    .option('--kind <kind>', 'only events of a kind, such as requestRefused')
    .option('--process <name>', 'only events of a process')
    .option('--about <text>', 'only events whose subject contains this text')
    .option('--last <count>', 'only the last events')
    .option('--html <file>', 'write an HTML page instead of text')
    .addHelpText('after', helpText)
    .action((folder: string, options: TimelineOptions) => printTimeline(folder, options, context));
};
