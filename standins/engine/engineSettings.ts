/**
 * The settings and counters of the model engine stand-in.
 */
import type { FaultScriptEntry } from '../faults/faultScript.js';

/** Settings of a model engine stand-in. */
export interface EngineSettings {
  /** Port to listen on; 0 takes any free one. */
  readonly port: number;
  readonly name: string;
  readonly service: string;
  readonly zone: string;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  /** Milliseconds from one token to the next; 0 makes all of them at once. */
  readonly tokenDelay: number;
  /** Requests that run side by side. */
  readonly slots: number;
  /** Requests that may wait for a slot, lowest priority number first; beyond it they are refused. */
  readonly queueLimit: number;
  readonly weightVersion: number;
  readonly incarnation: number;
  readonly isReclaimable: boolean;
  readonly checksFencing: boolean;
  /** Milliseconds for which an announcement holds. */
  readonly announcementLifetime: number;
  /** Ended requests that are kept for inspection; the oldest are dropped. */
  readonly recordLimit: number;
  readonly faults: readonly FaultScriptEntry[];
}

export const defaultEngineSettings: EngineSettings = {
  port: 0,
  name: 'engine',
  service: 'planner',
  zone: 'zone',
  models: ['planner-lm'],
  adapters: [],
  tokenDelay: 0,
  slots: 64,
  queueLimit: 0,
  weightVersion: 1,
  incarnation: 1,
  isReclaimable: false,
  checksFencing: true,
  announcementLifetime: 3000,
  recordLimit: 10_000,
  faults: [],
};

/** Names of the counters of an engine. */
export const engineCounterNames = [
  'received',
  'finished',
  'cancelled',
  'crashed',
  'refused',
  'tokensMade',
  'ordersDone',
  'ordersRepeated',
  'ordersRefused',
] as const;
export type EngineCounter = (typeof engineCounterNames)[number];
