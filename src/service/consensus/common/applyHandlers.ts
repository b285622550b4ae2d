/**
 * Types of the handlers with which each component applies its committed commands.
 */
import type { Result } from 'neverthrow';
import type { HandlerTable } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import type { World } from '../../world/common/world.js';
import type { CommittedEntry, Rejection } from './consensusTables.js';

/**
 * Arguments of an apply handler after the command: the world, the committed entry and the current
 * time. Replicated rows must not depend on the time, because it differs between daemons.
 */
export type ApplyContext = [World, CommittedEntry, Instant];

/** Apply handlers for the given kinds of commands. */
export type ApplyHandlers<Kinds extends { readonly kind: string }> = HandlerTable<
  Kinds,
  Result<void, Rejection>,
  ApplyContext
>;
