/**
 * Maps refusals, rejections and edit outcomes of operators' requests to HTTP responses.
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

/** Creates the response of a refused request that changed nothing. */
export const createRefusalResponse = (kind: RefusalKind, detail?: string): Response =>
  createErrorResponse(createRefusal(kind, true, detail));

/** Creates the response of a rejected edit or of a read from a path that does not exist. */
export const createRejectionResponse = (rejection: Rejection | SettingsRejection): Response =>
  Response.json(createErrorBody(rejection.kind, rejection.message), {
    status: httpStatusOf(rejection),
  });

const unknownOutcomeMessage =
  'The outcome of the edit was not known before its deadline; send the edit again with the same ' +
  'request identifier to get the original outcome.';

/** Creates the response of an edit; `acceptedFields` are added if it was accepted. */
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
