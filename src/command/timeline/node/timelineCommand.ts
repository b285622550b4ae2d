/**
 * `shallotquay timeline FOLDER`: merges the event files of all processes into one ordered time line.
 */
import { Result } from 'neverthrow';
import {
  formatEvent,
  mergeTimelines,
  type TimelineEvent,
} from '../../../platform/timeline/common/timelineEvent.js';
import {
  listTimelineFiles,
  readTimelineFile,
  type TimelineFileError,
} from '../../../platform/timeline/node/timelineFile.js';
import { ExitCode } from '../../main/common/exitCode.js';
import type { RegisterSubcommand, SubcommandContext } from '../../main/node/subcommand.js';

const exampleText = `
Events are ordered by hybrid logical clocks, so that a cause stands before its
effect even where the clocks of two VMs disagree.

Example:
  shallotquay timeline data/kestrelkloof/events --about request-gp-north-1`;

interface TimelineOptions {
  readonly about?: string;
  readonly last?: string;
}

/** Reads all event files in a folder and merges them. */
export const readMergedTimeline = (folder: string): Result<TimelineEvent[], TimelineFileError> =>
  listTimelineFiles(folder)
    .andThen((files) => Result.combine(files.map(readTimelineFile)))
    .map(mergeTimelines);

const isAbout = (event: TimelineEvent, text: string | undefined): boolean =>
  text === undefined || Object.values(event.subject).some((value) => String(value).includes(text));

const lastOf = <Value>(values: readonly Value[], count: string | undefined): readonly Value[] =>
  count === undefined ? values : values.slice(-Number(count));

const show = (folder: string, options: TimelineOptions, context: SubcommandContext): void =>
  readMergedTimeline(folder).match(
    (events) => {
      const selected = events.filter((event) => isAbout(event, options.about));
      lastOf(selected, options.last).forEach((event) =>
        context.writeOutput(`${formatEvent(event)}\n`),
      );
    },
    (error) => {
      context.writeError(`${error.message}\n`);
      context.setExitCode(ExitCode.InvalidInput);
    },
  );

/** Adds `timeline` to the program. */
export const registerTimelineCommand: RegisterSubcommand = (program, context) => {
  program
    .command('timeline')
    .description('merge the event files of all processes into one time line')
    .argument('<folder>', 'folder of the event files, as in the setting eventFolder')
    .option('--about <text>', 'only events whose subject has this text')
    .option('--last <count>', 'only the last events')
    .addHelpText('after', exampleText)
    .action((folder: string, options: TimelineOptions) => show(folder, options, context));
};
