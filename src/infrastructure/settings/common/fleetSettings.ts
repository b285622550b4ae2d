/**
 * Settings for singleton duties (usage reports, capacity orders), batch jobs and places. The operators
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

/** How much more than the declared rate a cold upstream takes in any second. */
export interface ColdLimit {
  /** Multiple of the declared requests a second. */
  readonly factor: number;
  /** Number of requests in addition. */
  readonly slack: number;
}

/** The places of an installation, and which decisions by place it asks for. */
export interface PlaceSettings {
  /** Region of each availability zone, by the name of the zone. */
  readonly regionByZone: Readonly<Record<string, string>>;
  /** Null if cold upstreams are not limited. */
  readonly coldLimit: ColdLimit | null;
  /** Whether the operator may evacuate availability zones. */
  readonly canEvacuate: boolean;
  /** Number of availability zones whose loss at the same time must be survived. */
  readonly toleratedZoneLosses: number;
}

/** The settings of an installation that decides nothing by place. */
export const defaultPlaceSettings: PlaceSettings = {
  regionByZone: {},
  coldLimit: null,
  canEvacuate: false,
  toleratedZoneLosses: 0,
};

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
  readonly places: PlaceSettings;
}

const defaultJobRetentionMilliseconds = 120_000; // 2 minutes; trainers read results within one step

/** The settings of an installation without duties. */
export const defaultFleetSettings: FleetSettings = {
  metering: null,
  canOrderCapacity: false,
  holder: '',
  voterCount: 0,
  jobRetentionMilliseconds: defaultJobRetentionMilliseconds,
  places: defaultPlaceSettings,
};
