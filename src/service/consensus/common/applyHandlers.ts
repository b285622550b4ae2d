/**
 * The form of the handlers by which subjects apply their commands.
 */
import type { Result } from 'neverthrow';
import type { HandlerTable } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import type { World } from '../../world/common/world.js';
import type { CommittedEntry, Rejection } from './consensusTables.js';

/** What a handler is given besides the command. It may not depend on the time for agreed rows. */
export type ApplyContext = [World, CommittedEntry, Instant];

/** Handlers for some kinds of commands. */
export type ApplyHandlers<Kinds extends { readonly kind: string }> = HandlerTable<
  Kinds,
  Result<void, Rejection>,
  ApplyContext
>;
