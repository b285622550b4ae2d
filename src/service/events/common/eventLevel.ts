/**
 * Levels of the log lines of events. A line is a warning if it reports a state in which this process
 * cannot serve and which somebody may have to end.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import { EventKind } from './eventKind.js';

export const EventLevel = { Information: 'info', Warning: 'warn' } as const;
export type EventLevel = ValueOf<typeof EventLevel>;

/** Levels of the kinds that are not information. */
const levelsByKind: Readonly<Partial<Record<EventKind, EventLevel>>> = {
  [EventKind.LeaderMissing]: EventLevel.Warning,
  [EventKind.ConfigurationMissing]: EventLevel.Warning,
  [EventKind.StorageFailed]: EventLevel.Warning,
  [EventKind.NotJoined]: EventLevel.Warning,
  [EventKind.VoterLagging]: EventLevel.Warning,
  [EventKind.SnapshotRefused]: EventLevel.Warning,
};

/** Returns the level of the line of an event. */
export const levelOf = (kind: EventKind): EventLevel =>
  levelsByKind[kind] ?? EventLevel.Information;
