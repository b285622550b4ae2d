/**
 * Decoding helpers shared by all routes.
 */
import type { HttpBindings } from '@hono/node-server';
import { Result } from 'neverthrow';
import type { z } from 'zod';

/** Hono environment of all routes: the bindings of the HTTP server. */
export interface RouteEnvironment {
  readonly Bindings: HttpBindings;
}

/** Parses JSON; the error carries no details. */
export const parseJson = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  () => undefined,
);

/** Lists all validation issues of a body, each with the path of its field. */
export const describeValidationIssues = (error: z.ZodError): string =>
  error.issues.map((issue) => `\`${issue.path.join('.')}\`: ${issue.message}.`).join(' ');
