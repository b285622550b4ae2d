/**
 * Reasons why an edit of the settings is rejected. A rejected edit leaves the settings unchanged.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import type { SettingsFault } from '../../../infrastructure/settings/common/settingsFault.js';
import type { Rejection } from '../../consensus/common/consensusTables.js';

export const SettingsRejectionKind = {
  RevisionMismatch: 'revisionMismatch',
  InvalidTree: 'invalidTree',
  UnknownPath: 'unknownPath',
  UnknownWorkspace: 'unknownWorkspace',
  UnknownKeyName: 'unknownKeyName',
  KeyNameTaken: 'keyNameTaken',
  RequestReused: 'requestReused',
  NotSeeded: 'notSeeded',
} as const;
export type SettingsRejectionKind = ValueOf<typeof SettingsRejectionKind>;

/** A rejection, with the faults of the tree that the edit would have produced. */
export interface SettingsRejection extends Rejection {
  readonly kind: SettingsRejectionKind;
  readonly faults: readonly SettingsFault[];
}

const remedyByKind: Readonly<Record<SettingsRejectionKind, string>> = {
  revisionMismatch:
    'Another edit was accepted first; read the tree again and resend the edit with its revision.',
  invalidTree: 'The edited tree would be invalid; correct each fault and send the edit again.',
  unknownPath: 'The path was not found; compare its spelling with `shallotquay tree get`.',
  unknownWorkspace: 'No workspace has this name; see `shallotquay tree get workspaces`.',
  unknownKeyName: 'The workspace has no key with this name; see `shallotquay key list`.',
  keyNameTaken: 'The workspace already has a key with this name; choose another name.',
  requestReused: 'The request identifier was used for another edit; choose a new identifier.',
  notSeeded: 'The installation has no agreed settings yet; send the edit again in a few seconds.',
};

/** Creates a rejection; `detail` is prepended to the remedy in the message. */
export const createSettingsRejection = (
  kind: SettingsRejectionKind,
  detail = '',
  faults: readonly SettingsFault[] = [],
): SettingsRejection => ({
  kind,
  message: detail === '' ? remedyByKind[kind] : `${detail} ${remedyByKind[kind]}`,
  faults,
});
