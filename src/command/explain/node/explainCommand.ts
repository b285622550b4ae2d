/**
 * `shallotquay explain ID PATH...`: reconstructs the history of a request, an item, a job, an
 * upstream, a declaration or a window from event files or from the log files of all processes.
 */
import { statSync } from 'node:fs';
import { Result } from 'neverthrow';
import { readLogFile } from '../../../infrastructure/log/node/logFile.js';
import {
  mergeTimelines,
  type TimelineEvent,
} from '../../../infrastructure/timeline/common/timelineEvent.js';
import { explainLog } from '../../../service/timeline/common/explainLog.js';
import { explainRequest } from '../../../service/timeline/common/explainRequest.js';
import { ExitCode } from '../../main/common/exitCode.js';
import type { RegisterSubcommand, SubcommandContext } from '../../main/node/subcommand.js';
import { readMergedTimeline } from '../../timeline/node/timelineCommand.js';

const helpText = `
A folder contains the event files of an installation with a settings tree; every
other path is a log file, optionally compressed with gzip, in any order.

Examples:
  shallotquay explain request-gp-north-1.1-7 data/kestrelkloof/events
  shallotquay explain e88e75ad17764416 store-1.log store-2.log front-1.log.gz`;

type ExplainEvents = (
  events: readonly TimelineEvent[],
  id: string,
) => readonly string[] | undefined;

interface ExplainSource {
  readonly events: readonly TimelineEvent[];
  readonly explain: ExplainEvents;
}

const isFolder = (path: string): boolean =>
  Result.fromThrowable(() => statSync(path).isDirectory())().unwrapOr(false);

const readLogs = (paths: readonly string[]): Result<ExplainSource, { readonly message: string }> =>
  Result.combine(paths.map(readLogFile)).map((files) => ({
    events: mergeTimelines(files.map(({ events }) => events)),
    explain: explainLog,
  }));

const readSource = (
  paths: readonly string[],
): Result<ExplainSource, { readonly message: string }> => {
  const [first] = paths;
  if (paths.length > 1 || first === undefined || !isFolder(first)) return readLogs(paths);
  return readMergedTimeline(first).map((events) => ({ events, explain: explainRequest }));
};

const reportError = (message: string, context: SubcommandContext): void => {
  context.writeError(`${message}\n`);
  context.setExitCode(ExitCode.InvalidInput);
};

const printExplanation = (id: string, paths: readonly string[], context: SubcommandContext): void =>
  readSource(paths).match(
    (source) => {
      const lines = source.explain(source.events, id);
      if (lines === undefined) {
        const searchedPaths = paths.join(', ');
        reportError(
          `No line in ${searchedPaths} contains the identifier ${id}; check the identifier and the paths.`,
          context,
        );
      } else context.writeOutput(`${lines.join('\n')}\n`);
    },
    (error) => reportError(error.message, context),
  );

/** Registers `explain` with the program. */
export const registerExplainCommand: RegisterSubcommand = (program, context) => {
  program
    .command('explain')
    .description('print the history of a request, item, job, upstream, declaration or window')
    .argument('<id>', 'identifier to explain; an item is JOB/ITEM')
    .argument('<paths...>', 'folder of event files, or log files of processes')
    .addHelpText('after', helpText)
    .action((id: string, paths: readonly string[]) => printExplanation(id, paths, context));
};
