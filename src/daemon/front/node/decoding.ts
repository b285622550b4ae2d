/**
 * What the routes share in decoding requests.
 */
import type { HttpBindings } from '@hono/node-server';
import { Result } from 'neverthrow';
import type { z } from 'zod';

/** The environment of all routes: the bindings of the HTTP server. */
export interface RouteEnvironment {
  readonly Bindings: HttpBindings;
}

/** Parses JSON; the error says only that it is none. */
export const parseJson = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  () => undefined,
);

/** All faults of a body, each with its path. */
export const describeValidationIssues = (error: z.ZodError): string =>
  error.issues.map((issue) => `\`${issue.path.join('.')}\`: ${issue.message}.`).join(' ');
