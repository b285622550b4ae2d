/**
 * Refusals and rejections of operators' requests as HTTP responses.
 */
import { createRefusal, type RefusalKind } from '../../../service/traffic/common/refusal.js';
import {
  SettingsRejectionKind,
  type SettingsRejection,
} from '../../../service/configuration/common/settingsRejection.js';
import type { Rejection } from '../../../service/consensus/common/consensusTables.js';
import { createErrorResponse } from '../../front/node/errorResponse.js';
import type { EditOutcome } from './editPort.js';

const statusByKind: Readonly<Record<SettingsRejectionKind, number>> = {
  revisionMismatch: 409,
  invalidTree: 422,
  unknownPath: 404,
  unknownWorkspace: 404,
  unknownKeyName: 404,
  keyNameTaken: 409,
  requestReused: 409,
  notSeeded: 503,
};
const unavailableStatus = 503;

const httpStatusOf = ({ kind }: Rejection): number =>
  Object.hasOwn(statusByKind, kind)
    ? statusByKind[kind as SettingsRejectionKind]
    : unavailableStatus;

const createErrorBody = (code: string, message: string) => ({
  error: { type: 'shallotquay_error', code, message },
});

/** A refusal that names its own remedy; nothing was changed. */
export const createRefusalResponse = (kind: RefusalKind, detail?: string): Response =>
  createErrorResponse(createRefusal(kind, true, detail));

/** A rejected edit, or a place that is not there. */
export const createRejectionResponse = (rejection: Rejection | SettingsRejection): Response =>
  Response.json(createErrorBody(rejection.kind, rejection.message), {
    status: httpStatusOf(rejection),
  });

const unknownOutcomeMessage =
  'Whether the edit is in force could not be told in time; send it again under the same request ' +
  'identifier, which gives the first answer.';

/** What became of an edit, with the members that an accepted one adds. */
export const createOutcomeResponse = (
  outcome: EditOutcome,
  acceptedFields: object = {},
): Response => {
  if (outcome.kind === 'rejected') return createRejectionResponse(outcome.rejection);
  if (outcome.kind === 'accepted')
    return Response.json({ revision: outcome.revision, ...acceptedFields });
  return Response.json(createErrorBody('unknownOutcome', unknownOutcomeMessage), {
    status: unavailableStatus,
  });
};
