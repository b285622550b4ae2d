/**
 * HTTP client of the operator API of an entry. Requests that get no response are retried. Retries
 * of an edit have the same request identifier, so that the edit is applied only once.
 */
import { readFileSync } from 'node:fs';
import { randomUUID } from 'node:crypto';
import type { Command } from 'commander';
import { err, ok, Result } from 'neverthrow';
import { request as sendRequest } from 'undici';
import { operatorErrorSchema } from '../../../service/protocol/common/operatorProtocol.js';
import { ExitCode } from '../../main/common/exitCode.js';
import type { SubcommandContext } from '../../main/node/subcommand.js';

/** The options common to all operator commands. */
export interface OperatorOptions {
  readonly entry: string;
  readonly keyFile?: string;
  readonly json?: boolean;
}

/** The reason why an operator request failed. */
export interface OperatorError {
  readonly kind: 'noKey' | 'unreachable' | 'refused' | 'badAnswer';
  readonly message: string;
  readonly exitCode: ExitCode;
}

const keyVariable = 'SHALLOTQUAY_OPERATOR_KEY';
const defaultEntry = '127.0.0.1:7101';
const maximumAttempts = 3;
const requestTimeoutMilliseconds = 10_000;
const firstClientErrorStatus = 400;
const firstServerErrorStatus = 500;

/** Adds the options common to all operator commands. */
export const addOperatorOptions = (command: Command): Command =>
  command
    .option('--entry <address>', 'address of an entry as host:port', defaultEntry)
    .option('--key-file <file>', `file with the operator key; by default ${keyVariable} is used`)
    .option('--json', 'print the response as JSON');

const createOperatorError = (
  kind: OperatorError['kind'],
  message: string,
  exitCode: ExitCode,
): OperatorError => ({ kind, message, exitCode });

const readKeyFile = Result.fromThrowable(
  (file: string) => readFileSync(file, 'utf8').trim(),
  () =>
    createOperatorError(
      'noKey',
      'The key file cannot be read; check its path and permissions.',
      ExitCode.InvalidInput,
    ),
);

const noKeyError = createOperatorError(
  'noKey',
  `No operator key was provided; set ${keyVariable} or specify a file with --key-file.`,
  ExitCode.InvalidInput,
);

const readOperatorKey = ({ keyFile }: OperatorOptions): Result<string, OperatorError> => {
  if (keyFile !== undefined) return readKeyFile(keyFile);
  const key = process.env[keyVariable] ?? '';
  return key === '' ? err(noKeyError) : ok(key);
};

const createRefusedError = (status: number, body: unknown): OperatorError => {
  const parsed = operatorErrorSchema.safeParse(body);
  const message = parsed.success
    ? `${parsed.data.error.code}: ${parsed.data.error.message}`
    : `The entry responded with status ${status}; check that the address belongs to an entry.`;
  const isClientError = status < firstServerErrorStatus;
  return createOperatorError(
    'refused',
    message,
    isClientError ? ExitCode.InvalidInput : ExitCode.Failure,
  );
};

const parseJson = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  () =>
    createOperatorError(
      'badAnswer',
      'The response of the entry is not JSON; check that the address belongs to an entry.',
      ExitCode.Failure,
    ),
);

const sendAttempt = async (
  entry: string,
  key: string,
  path: string,
  body: object | undefined,
): Promise<Result<unknown, OperatorError>> => {
  const response = await sendRequest(`http://${entry}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body: body === undefined ? null : JSON.stringify(body),
    headersTimeout: requestTimeoutMilliseconds,
    bodyTimeout: requestTimeoutMilliseconds,
  });
  const parsed = parseJson(await response.body.text());
  return response.statusCode < firstClientErrorStatus
    ? parsed
    : err(createRefusedError(response.statusCode, parsed.unwrapOr(undefined)));
};

const createUnreachableError = (entry: string): OperatorError =>
  createOperatorError(
    'unreachable',
    `The entry ${entry} does not respond; check that it is running, or specify another with --entry.`,
    ExitCode.Failure,
  );

const sendWithRetries = async (
  entry: string,
  key: string,
  path: string,
  body: object | undefined,
): Promise<Result<unknown, OperatorError>> => {
  for (let attempt = 1; attempt <= maximumAttempts; attempt += 1) {
    try {
      // Attempts are sequential: each starts after the previous one has failed.
      // eslint-disable-next-line no-await-in-loop
      return await sendAttempt(entry, key, path, body);
    } catch {
      // The next attempt has the same request identifier.
    }
  }
  return err(createUnreachableError(entry));
};

/** Creates a unique request identifier for an edit. */
export const createRequestIdentifier = (): string => randomUUID();

/** Sends a request to the entry: POST if there is a body, GET otherwise. */
export const sendOperatorRequest = async (
  options: OperatorOptions,
  path: string,
  body?: object,
): Promise<Result<unknown, OperatorError>> => {
  const key = readOperatorKey(options);
  return key.isErr() ? err(key.error) : sendWithRetries(options.entry, key.value, path, body);
};

/** Sends a request and prints the response with `format`, or as JSON with the option `--json`. */
export const requestAndPrint = async (
  context: SubcommandContext,
  options: OperatorOptions,
  operatorRequest: { readonly path: string; readonly body?: object },
  format: (response: never) => string,
): Promise<void> => {
  const result = await sendOperatorRequest(options, operatorRequest.path, operatorRequest.body);
  result.match(
    (value) =>
      context.writeOutput(
        options.json ? `${JSON.stringify(value, null, 2)}\n` : format(value as never),
      ),
    (error) => {
      context.writeError(`${error.message}\n`);
      context.setExitCode(error.exitCode);
    },
  );
};
