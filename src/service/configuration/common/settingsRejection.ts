/**
 * Why an edit of the settings was not accepted. The settings are then unchanged.
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

/** A rejection with the faults of the tree that would have come of the edit. */
export interface SettingsRejection extends Rejection {
  readonly kind: SettingsRejectionKind;
  readonly faults: readonly SettingsFault[];
}

const remedies: Readonly<Record<SettingsRejectionKind, string>> = {
  revisionMismatch:
    'Another edit came first; read the tree again, and send the edit with the revision it gives.',
  invalidTree: 'The tree would have faults; correct each of them and send the edit again.',
  unknownPath: 'The path names nothing; compare its spelling with `shallotquay tree get`.',
  unknownWorkspace: 'No workspace has this name; see `shallotquay tree get workspaces`.',
  unknownKeyName: 'The workspace has no key of this name; see `shallotquay key list`.',
  keyNameTaken: 'The workspace has a key of this name; choose another name for the new key.',
  requestReused: 'The request identifier was used for another edit; choose a new identifier.',
  notSeeded: 'The installation has no agreed settings yet; send the edit again in a few seconds.',
};

/** Makes a rejection; `detail` is put before the remedy. */
export const createSettingsRejection = (
  kind: SettingsRejectionKind,
  detail = '',
  faults: readonly SettingsFault[] = [],
): SettingsRejection => ({
  kind,
  message: detail === '' ? remedies[kind] : `${detail} ${remedies[kind]}`,
  faults,
});
