/**
 * Settings for singleton duties (usage reports, capacity orders) and for batch jobs. The operators
 * of an installation agree on these limits with the operators of its upstreams.
 */
import type { Milliseconds } from '../../../base/common/time.js';

/** The time windows for which usage is reported. */
export interface MeteringSettings {
  /** Length of a window; window k starts k lengths after the Unix epoch. */
  readonly windowMilliseconds: Milliseconds;
  /** Time after the end of a window at which its report is due. */
  readonly lateMilliseconds: Milliseconds;
}

export interface FleetSettings {
  /** Null if usage is not reported. */
  readonly metering: MeteringSettings | null;
  /** Whether daemons may order capacity (new upstreams). */
  readonly canOrderCapacity: boolean;
  /** Name with which this daemon identifies itself in orders and reports. */
  readonly holder: string;
  /** Target number of voters, reached once there are enough control daemons. */
  readonly voterCount: number;
  /** How long the results of a job are retained, counted from its submission. */
  readonly jobRetentionMilliseconds: Milliseconds;
}

const defaultJobRetentionMilliseconds = 120_000; // 2 minutes; trainers read results within one step

/** The settings of an installation without duties. */
export const defaultFleetSettings: FleetSettings = {
  metering: null,
  canOrderCapacity: false,
  holder: '',
  voterCount: 0,
  jobRetentionMilliseconds: defaultJobRetentionMilliseconds,
};
