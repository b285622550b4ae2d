/**
 * The settings and counters of the model engine stand-in.
 */
import type { FaultScriptEntry } from '../faults/faultScript.js';

/** Settings of a model engine stand-in. */
export interface EngineSettings {
  /** Port to listen on; 0 selects a free port. */
  readonly port: number;
  readonly name: string;
  readonly service: string;
  readonly zone: string;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  /** Milliseconds between two tokens; 0 generates all tokens at once. */
  readonly tokenDelay: number;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /**
   * Maximum number of requests that wait for a slot, lowest priority number first; others are
   * refused.
   */
  readonly queueLimit: number;
  readonly weightVersion: number;
  readonly incarnation: number;
  readonly isReclaimable: boolean;
  readonly checksFencing: boolean;
  /** Milliseconds for which an announcement is valid. */
  readonly announcementLifetime: number;
  /**
   * Maximum number of requests kept for inspection; the oldest ended requests are removed first.
   */
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

/** Counter names of an engine. */
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
