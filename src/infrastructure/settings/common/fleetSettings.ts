/**
 * Settings of the duties and of batch jobs: bounds that the operators of an installation agree with those
 * who run its upstreams.
 */
import type { Milliseconds } from '../../../base/common/time.js';

/** Windows of usage. */
export interface MeteringSettings {
  /** Length of a window; window k begins k lengths after the Unix epoch. */
  readonly windowMilliseconds: Milliseconds;
  /** How long after its end a report is due. */
  readonly lateMilliseconds: Milliseconds;
}

export interface FleetSettings {
  /** Null where no usage is reported. */
  readonly metering: MeteringSettings | null;
  /** Whether upstreams may be ordered. */
  readonly canOrderCapacity: boolean;
  /** Name under which this daemon gives orders. */
  readonly holder: string;
  /** How many voters the log shall have, once there are so many control daemons. */
  readonly voterCount: number;
  /** How long after its submission the results of a job are kept. */
  readonly jobRetentionMilliseconds: Milliseconds;
}

const defaultJobRetentionMilliseconds = 120_000; // two minutes, as trainers read results within one step

/** The settings of an installation without duties. */
export const defaultFleetSettings: FleetSettings = {
  metering: null,
  canOrderCapacity: false,
  holder: '',
  voterCount: 0,
  jobRetentionMilliseconds: defaultJobRetentionMilliseconds,
};
