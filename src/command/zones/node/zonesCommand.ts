/**
 * `shallotquay zones ADDRESS...`: prints the evacuated availability zones, since when, and how many
 * requests still run there, from the metrics pages of daemons.
 */
import { err, ok, Result, ResultAsync } from 'neverthrow';
import { request as sendRequest } from 'undici';
import { ExitCode } from '../../main/common/exitCode.js';
import type { RegisterSubcommand, SubcommandContext } from '../../main/node/subcommand.js';
import { formatZones, readZoneGauges, type ShownZone } from '../common/zoneGauges.js';

const defaultPath = '/metrics';
const requestTimeoutMilliseconds = 5_000; // a page takes milliseconds
const successStatus = 200;

const helpText = `
Each daemon counts the requests that it has sent itself, so name the metrics pages
of all of them to see what still runs in a zone.

Example:
  shallotquay zones 10.0.0.1:9464 10.0.0.2:9464/metrics`;

const formatTime = (time: number): string => new Date(time).toISOString();

const readPage = async (url: string): Promise<Result<string, string>> => {
  const response = await sendRequest(url, {
    headersTimeout: requestTimeoutMilliseconds,
    bodyTimeout: requestTimeoutMilliseconds,
  });
  const text = await response.body.text();
  return response.statusCode === successStatus
    ? ok(text)
    : err(`It answers with status ${response.statusCode}; check the path of the metrics page.`);
};

const readZones = async (address: string): Promise<Result<readonly ShownZone[], string>> => {
  const url = `http://${address}${address.includes('/') ? '' : defaultPath}`;
  const page = await ResultAsync.fromPromise(
    readPage(url),
    () => 'It does not respond; check that the daemon runs, and the address.',
  );
  return page
    .andThen((text) => text)
    .andThen(readZoneGauges)
    .mapErr((message) => `${address}: ${message}`);
};

const printZones = async (
  addresses: readonly string[],
  context: SubcommandContext,
): Promise<void> => {
  const results = await Promise.all(addresses.map(readZones));
  const pages = results.flatMap((result) => (result.isOk() ? [result.value] : []));
  const messages = results.flatMap((result) => (result.isErr() ? [result.error] : []));
  if (pages.length > 0) context.writeOutput(formatZones(pages, formatTime));
  if (messages.length === 0) return;
  messages.forEach((message) => context.writeError(`${message}\n`));
  context.setExitCode(ExitCode.Failure);
};

/** Registers `zones` with the program. */
export const registerZonesCommand: RegisterSubcommand = (program, context) => {
  program
    .command('zones')
    .description('print the evacuated availability zones and what still runs there')
    .argument('<addresses...>', 'metrics pages of daemons as host:port or host:port/path')
    .addHelpText('after', helpText)
    .action((addresses: readonly string[]) => printZones(addresses, context));
};
