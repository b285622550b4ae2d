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

const statusOf = ({ kind }: Rejection): number =>
  Object.hasOwn(statusByKind, kind)
    ? statusByKind[kind as SettingsRejectionKind]
    : unavailableStatus;

const errorBody = (code: string, message: string) => ({
  error: { type: 'shallotquay_error', code, message },
});

/** A refusal that names its own remedy; nothing was changed. */
export const refuse = (kind: RefusalKind, detail?: string): Response =>
  createErrorResponse(createRefusal(kind, true, detail));

/** A rejected edit, or a place that is not there. */
export const rejectionResponse = (rejection: Rejection | SettingsRejection): Response =>
  Response.json(errorBody(rejection.kind, rejection.message), { status: statusOf(rejection) });

const unknownOutcome =
  'Whether the edit is in force could not be told in time; send it again under the same request ' +
  'identifier, which gives the first answer.';

/** What became of an edit, with the members that an accepted one adds. */
export const outcomeResponse = (outcome: EditOutcome, added: object = {}): Response => {
  if (outcome.kind === 'rejected') return rejectionResponse(outcome.rejection);
  if (outcome.kind === 'accepted') return Response.json({ revision: outcome.revision, ...added });
  return Response.json(errorBody('unknownOutcome', unknownOutcome), { status: unavailableStatus });
};
