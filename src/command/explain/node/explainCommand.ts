/**
 * `shallotquay explain ID FOLDER`: tells from the event files why a request was refused or failed.
 */
import { explainRequest } from '../../../service/timeline/common/explainRequest.js';
import { ExitCode } from '../../main/common/exitCode.js';
import type { RegisterSubcommand, SubcommandContext } from '../../main/node/subcommand.js';
import { readMergedTimeline } from '../../timeline/node/timelineCommand.js';

const exampleText = `
Example:
  shallotquay explain request-gp-north-1.1-7 data/kestrelkloof/events`;

const fail = (message: string, context: SubcommandContext): void => {
  context.writeError(`${message}\n`);
  context.setExitCode(ExitCode.InvalidInput);
};

const explain = (request: string, folder: string, context: SubcommandContext): void =>
  readMergedTimeline(folder).match(
    (events) => {
      const lines = explainRequest(events, request);
      if (lines === undefined) {
        fail(`No event in ${folder} names ${request}; check the identifier and folder.`, context);
      } else context.writeOutput(`${lines.join('\n')}\n`);
    },
    (error) => fail(error.message, context),
  );

/** Adds `explain` to the program. */
export const registerExplainCommand: RegisterSubcommand = (program, context) => {
  program
    .command('explain')
    .description('tell why a request was refused, failed or answered as it was')
    .argument('<id>', 'identifier of the request')
    .argument('<folder>', 'folder of the event files, as in the setting eventFolder')
    .addHelpText('after', exampleText)
    .action((request: string, folder: string) => explain(request, folder, context));
};
