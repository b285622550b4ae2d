/**
 * The kinds of events of the time line, and the queue through which systems record them.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import type { EventSubject } from '../../../infrastructure/timeline/common/timelineEvent.js';
import { RowReader } from '../../../infrastructure/tables/common/rowReader.js';
import { createRowQueue } from '../../../infrastructure/tables/common/rowQueue.js';

export const EventKind = {
  DaemonStarted: 'daemonStarted',
  DaemonLeaving: 'daemonLeaving',
  PeerAlive: 'peerAlive',
  PeerSuspected: 'peerSuspected',
  SettingsPublished: 'settingsPublished',
  SettingsFresh: 'settingsFresh',
  SettingsStale: 'settingsStale',
  UpstreamAnnounced: 'upstreamAnnounced',
  UpstreamChanged: 'upstreamChanged',
  UpstreamGone: 'upstreamGone',
  RequestAdmitted: 'requestAdmitted',
  RequestRefused: 'requestRefused',
  RequestAnswered: 'requestAnswered',
  RequestFailed: 'requestFailed',
  RequestCancelled: 'requestCancelled',
  AttemptStarted: 'attemptStarted',
  AttemptEnded: 'attemptEnded',
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
  /** A voter asks for votes, or before that whether it would get them. */
  VotesAsked: 'votesAsked',
  /** A voter grants or refuses its vote. */
  VoteDecided: 'voteDecided',
  /** A daemon ceases to vote, or begins to. */
  VotingChanged: 'votingChanged',
  StorageFailed: 'storageFailed',
  OrderEnded: 'orderEnded',
  BatchWithdrawn: 'batchWithdrawn',
  LotFailed: 'lotFailed',
  LotTakenOver: 'lotTakenOver',
  LotDropped: 'lotDropped',
  DeclarationInForce: 'declarationInForce',
  RegistrationChanged: 'registrationChanged',
  VotersChanging: 'votersChanging',
  CallAdmitted: 'callAdmitted',
  CallAnswered: 'callAnswered',
  CallCancelled: 'callCancelled',
  CallRefused: 'callRefused',
  SendStarted: 'sendStarted',
  SendEnded: 'sendEnded',
  JobAccepted: 'jobAccepted',
  JobEnded: 'jobEnded',
  /** A text is whole, and its scoring request goes out. */
  ScoringStarted: 'scoringStarted',
  ItemListed: 'itemListed',
  RunStarted: 'runStarted',
  RunNotTaken: 'runNotTaken',
  RunFailed: 'runFailed',
  RunBroken: 'runBroken',
  RunMoved: 'runMoved',
  RunSilent: 'runSilent',
  WeightOrderEnded: 'weightOrderEnded',
  DutyEnded: 'dutyEnded',
  CapacityOrdered: 'capacityOrdered',
  BodyLost: 'bodyLost',
  /** Log lines were left out, over the budget or because nobody read them. */
  LinesDropped: 'linesDropped',
} as const;
export type EventKind = ValueOf<typeof EventKind>;

/** An event that has not been stamped yet. */
export interface RecordedEvent {
  readonly kind: EventKind;
  readonly subject: EventSubject;
}

/** Creates the queue of recorded events, which a port stamps and writes. */
export const createEventTables = () => ({
  events: createRowQueue<RecordedEvent>('events', RowReader.Port),
});
