/**
 * Kinds of timeline events, and the queue in which systems record them. A port adds time stamps and
 * writes the events.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import type { EventSubject } from '../../../infrastructure/timeline/common/timelineEvent.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';

export const EventKind = {
  DaemonStarted: 'daemonStarted',
  DaemonLeaving: 'daemonLeaving',
  /** The clock of the process jumped: its VM was suspended, or its time of day was set forward. */
  ClockJumped: 'clockJumped',
  PeerAlive: 'peerAlive',
  PeerSuspected: 'peerSuspected',
  SettingsPublished: 'settingsPublished',
  SettingsFresh: 'settingsFresh',
  SettingsStale: 'settingsStale',
  UpstreamAnnounced: 'upstreamAnnounced',
  UpstreamChanged: 'upstreamChanged',
  UpstreamRemoved: 'upstreamGone',
  RequestAdmitted: 'requestAdmitted',
  RequestRefused: 'requestRefused',
  RequestAnswered: 'requestAnswered',
  RequestFailed: 'requestFailed',
  RequestCancelled: 'requestCancelled',
  AttemptStarted: 'attemptStarted',
  AttemptEnded: 'attemptEnded',
  /** A run broke or got no answer, so its process may have ended under the request. */
  CrashSuspected: 'crashSuspected',
  /** A process is known to have ended while it ran a request. */
  ProcessEndRecorded: 'processEndRecorded',
  /** A request was answered, so that earlier process ends no longer count against it. */
  CrashesExcused: 'crashesExcused',
  RequestQuarantined: 'requestQuarantined',
  BreakerOpened: 'breakerOpened',
  LateFact: 'lateFact',
  LotOpened: 'lotOpened',
  LotComplete: 'lotComplete',
  SampleComplete: 'sampleComplete',
  SampleDiscarded: 'sampleDiscarded',
  BatchAssigned: 'batchAssigned',
  BatchAcknowledged: 'batchAcknowledged',
  LeadershipTaken: 'leadershipTaken',
  LeadershipLost: 'leadershipLost',
  /** The leader may send orders and calls from now on, with this fencing token. */
  LeaderActing: 'leaderActing',
  /** A voter requests votes or pre-votes. */
  VotesRequested: 'votesAsked',
  /** A voter grants or refuses its vote. */
  VoteDecided: 'voteDecided',
  /** A daemon becomes or stops being a voter. */
  VotingChanged: 'votingChanged',
  /** A voter lacks entries and has acknowledged none of them for a while. */
  VoterBehind: 'voterBehind',
  /** A daemon that can vote lacks accepted entries, so its vote does not count; repeated at intervals. */
  NotJoined: 'notJoined',
  /** It holds all of them again after `notJoined`. */
  Joined: 'joined',
  /** A voter, at the leader: silent, not joined or without an accepted entry; repeated at intervals. */
  VoterLagging: 'voterLagging',
  /** It answers, has joined and holds what it lacked, after `voterLagging`. */
  VoterCaughtUp: 'voterCaughtUp',
  /** A learner has acknowledged none of the entries that were sent to it; they are sent again. */
  LearnerBehind: 'learnerBehind',
  /** A daemon has compacted its log. */
  SnapshotTaken: 'snapshotTaken',
  /** A daemon has replaced its log and its replicated rows by the snapshot of another one. */
  SnapshotInstalled: 'snapshotInstalled',
  /** A received snapshot has rows that this daemon cannot read. */
  SnapshotRefused: 'snapshotRefused',
  /** The parts of a snapshot have stopped to arrive before it was complete. */
  SnapshotAbandoned: 'snapshotAbandoned',
  /** A message between daemons exceeds the frame limit or cannot be read. */
  FrameRefused: 'frameRefused',
  /** A daemon that can vote knows no leader; repeated at intervals. */
  LeaderMissing: 'leaderMissing',
  /** A leader is known again after `leaderMissing`. */
  LeaderFound: 'leaderFound',
  /** A daemon holds no declaration that counts as up to date; repeated at intervals. */
  ConfigurationMissing: 'configurationMissing',
  /** It holds one again after `configurationMissing`. */
  ConfigurationFound: 'configurationFound',
  StorageFailed: 'storageFailed',
  /** A control daemon has read its disk after its start. */
  StorageRecovered: 'storageRecovered',
  OrderEnded: 'orderEnded',
  BatchWithdrawn: 'batchWithdrawn',
  LotFailed: 'lotFailed',
  LotTakenOver: 'lotTakenOver',
  LotDropped: 'lotDropped',
  DeclarationActivated: 'declarationInForce',
  RegistrationChanged: 'registrationChanged',
  /** An upstream is cold, so requests to it need permits; written by each daemon. */
  UpstreamCold: 'upstreamCold',
  /** It is warm again after `upstreamCold`. */
  UpstreamWarm: 'upstreamWarm',
  /** The leader has granted all permits of a cold upstream and refuses more for now. */
  ColdPermitsRefused: 'coldPermitsRefused',
  VotersChanging: 'votersChanging',
  /** The leader appoints the daemon that runs the items of a job with home regions. */
  RunnerAppointed: 'runnerAppointed',
  CallAdmitted: 'callAdmitted',
  CallAnswered: 'callAnswered',
  CallCancelled: 'callCancelled',
  CallRefused: 'callRefused',
  /** The software version that began the stream of a call is known. */
  StreamLocated: 'streamLocated',
  SendStarted: 'sendStarted',
  SendEnded: 'sendEnded',
  JobAccepted: 'jobAccepted',
  JobEnded: 'jobEnded',
  /** Too few daemons in its home regions have stored the bodies of a job; it was not accepted. */
  JobNotStored: 'jobNotStored',
  /** The leader replaces daemons that store the contents of a job with home regions. */
  HoldersReplaced: 'holdersReplaced',
  /** A text is complete, and its scoring request is sent. */
  ScoringStarted: 'scoringStarted',
  ItemListed: 'itemListed',
  RunStarted: 'runStarted',
  RunNotStarted: 'runNotTaken',
  RunFailed: 'runFailed',
  RunBroken: 'runBroken',
  RunMoved: 'runMoved',
  RunTimedOut: 'runSilent',
  /** The text of a run is discarded, because no engine of its software version goes on with it. */
  TextDiscarded: 'textDiscarded',
  /** A complete text waits until its engines have reported that they have not started again. */
  TextHeld: 'textHeld',
  /** The connection for a weight order is established, and the order is written to it. */
  WeightOrderSent: 'weightOrderSent',
  WeightOrderEnded: 'weightOrderEnded',
  /** The connection of a weight order is closed before an answer has come. */
  WeightOrderAbandoned: 'weightOrderAbandoned',
  UsageReportEnded: 'dutyEnded',
  CapacityOrdered: 'capacityOrdered',
  BodyLost: 'bodyLost',
  /** The operator has evacuated an availability zone. */
  ZoneEvacuated: 'zoneEvacuated',
  /** The operator has withdrawn the evacuation of an availability zone. */
  ZoneRestored: 'zoneRestored',
  /** Log lines were dropped, because they exceeded the budget or were not read. */
  LinesDropped: 'linesDropped',
} as const;
export type EventKind = ValueOf<typeof EventKind>;

/** An event without a time stamp, as recorded by a system. */
export interface RecordedEvent {
  readonly kind: EventKind;
  readonly subject: EventSubject;
}

/** Creates the queue of recorded events; a port adds time stamps and writes them. */
export const createEventTables = () => ({
  events: createRowQueue<RecordedEvent>('events', RowReader.Port),
});
