/**
 * Checks whether parts of a request can be written by the upstream client. Requests that are stored
 * before they are sent must be checked when they arrive, because they could never be sent later.
 */
import { validateHeaderName, validateHeaderValue } from 'node:http';
import { Result } from 'neverthrow';
import type { Headers } from './upstreamDialect.js';

/** Characters that node:http accepts in a path; it must begin with a slash. */
const pathPattern = /^\/[\x21-\xff]*$/;

const validateHeader = Result.fromThrowable((name: string, value: string): void => {
  validateHeaderName(name);
  validateHeaderValue(name, value);
});

/** Whether a path can be sent. */
export const isSendablePath = (path: string): boolean => pathPattern.test(path);

/** Whether all names and values of headers can be sent. */
export const areSendableHeaders = (headers: Headers): boolean =>
  Object.entries(headers).every(([name, value]) => validateHeader(name, value).isOk());

/** Whether a text can be sent as the value of a header. */
export const isSendableHeaderValue = (value: string): boolean =>
  validateHeader('value', value).isOk();
