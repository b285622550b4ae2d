/**
 * The core of a daemon: its world and the ordered list of its systems. It must not depend on any
 * port, so that the same core runs with the ports of a real process and with fakes on virtual time.
 */
import type { ValueOf } from '../../../base/common/handlers.js';
import type { Instant } from '../../../base/common/time.js';
import {
  createTicker,
  type System,
  type Ticker,
} from '../../../infrastructure/tables/common/tick.js';
import { createAbsenceSystem } from '../../absence/common/absenceSystem.js';
import { createVoterLagSystem } from '../../absence/common/voterLagSystem.js';
import { createAdmissionSystem } from '../../admission/common/admissionSystem.js';
import { createDemandSystem } from '../../admission/common/demandSystem.js';
import { createCapacitySystem } from '../../capacity/common/capacitySystem.js';
import {
  createPublicationSystem,
  initializeSettings,
} from '../../configuration/common/publicationSystem.js';
import { createRevocationSystem } from '../../configuration/common/revocationSystem.js';
import { createRotationSystem } from '../../configuration/common/rotationSystem.js';
import { createApplySystem } from '../../consensus/common/applySystem.js';
import { createClockJumpSystem } from '../../consensus/common/clockJumpSystem.js';
import { createCompactionSystem } from '../../consensus/common/compaction.js';
import { createVoterSystem } from '../../consensus/common/voterSystem.js';
import { createReplicaSystem, insertReplica } from '../../consensus/common/replicaSystem.js';
import { createAttemptFactSystem } from '../../dispatch/common/attemptFactSystem.js';
import { createDeadlineSystem } from '../../dispatch/common/deadlineSystem.js';
import { createCallerDisconnectSystem } from '../../dispatch/common/callerDisconnectSystem.js';
import { createDispatchSystem } from '../../dispatch/common/dispatchSystem.js';
import { createAnnouncementSystem } from '../../membership/common/announcementSystem.js';
import { insertDaemons } from '../../membership/common/daemonRows.js';
import { createDaemonSystem } from '../../membership/common/daemonSystem.js';
import { createInboxSystem } from '../../messages/common/inboxSystem.js';
import { createCallSystem } from '../../forwarding/common/callSystem.js';
import { createOriginSystem } from '../../forwarding/common/originSystem.js';
import { createSendSystem } from '../../forwarding/common/sendSystem.js';
import { createAssignmentSystem } from '../../jobs/common/assignmentSystem.js';
import { createContentHolderSystem } from '../../jobs/common/contentHolderSystem.js';
import { createContentHoldingSystem } from '../../jobs/common/contentHolding.js';
import { createContentReadSystem } from '../../jobs/common/contentReads.js';
import { createContentStoringSystem } from '../../jobs/common/contentStoring.js';
import { createEngineLoadSystem } from '../../jobs/common/engineLoads.js';
import { createJobRetentionSystem } from '../../jobs/common/jobRetentionSystem.js';
import { createJobReadSystem } from '../../jobs/common/jobReads.js';
import { createRunMigrationSystem } from '../../jobs/common/runMigrationSystem.js';
import { createResultListingSystem } from '../../jobs/common/listItems.js';
import { createRunnerSystem } from '../../jobs/common/runnerSystem.js';
import { createRunSystem } from '../../jobs/common/runSystem.js';
import { createTextSavingSystem } from '../../jobs/common/saveTexts.js';
import { createScoringSystem } from '../../jobs/common/scoring.js';
import { createTextSourceSystem } from '../../jobs/common/textSources.js';
import { createMeteringSystem } from '../../metering/common/meteringSystem.js';
import { createColdSystem } from '../../places/common/coldSystem.js';
import { createCrashSpreadSystem } from '../../quarantine/common/crashSpreadSystem.js';
import { createEvacuationSystem } from '../../places/common/evacuationSystem.js';
import {
  callQuarantinePolicy,
  requestQuarantinePolicy,
} from '../../quarantine/common/quarantinePolicy.js';
import { createQuarantineSystemFor } from '../../quarantine/common/quarantineSystem.js';
import { createRegistrySystem } from '../../registry/common/registrySystem.js';
import { createWeightSystem } from '../../weights/common/weightSystem.js';
import { createOrderSystem } from '../../orders/common/orderSystem.js';
import { createBodySystem } from '../../rollout/common/bodySystem.js';
import { createCompletionSystem } from '../../rollout/common/completionSystem.js';
import { createEarlyStopSystem } from '../../rollout/common/earlyStopSystem.js';
import { createFetchSystem } from '../../rollout/common/fetchSystem.js';
import { createLedgerProposalSystem } from '../../rollout/common/ledgerProposals.js';
import { createLotSystem } from '../../rollout/common/lotSystem.js';
import { createPlanSystem } from '../../rollout/common/planSystem.js';
import { createSampleSystem } from '../../rollout/common/sampleSystem.js';
import { createFlowSystem } from '../../routing/common/flowSystem.js';
import { createSubmissionSystem } from '../../rollout/common/submissionSystem.js';
import { createWindowSystem } from '../../rollout/common/windowSystem.js';
import { createRoutingSystem } from '../../routing/common/routingSystem.js';
import { createWorld, type World, type WorldOptions } from '../../world/common/world.js';

/** Creates a system that runs on a world. */
type SystemFactory = (world: World) => System;

/** Kind of configuration of an installation; determines the systems that its daemons run. */
export const Profile = {
  /** Settings tree that is edited in place; serves calls to models, and lots fetched by cursor. */
  Tree: 'tree',
  /** Complete, versioned declarations; serves calls to declared routes, and batch jobs. */
  Declaration: 'declaration',
} as const;
export type Profile = ValueOf<typeof Profile>;

const treeSystems: readonly SystemFactory[] = [
  createClockJumpSystem,
  createInboxSystem,
  createReplicaSystem,
  createApplySystem,
  createCompactionSystem,
  createPublicationSystem,
  createRotationSystem,
  createRevocationSystem,
  createDaemonSystem,
  createAnnouncementSystem,
  createQuarantineSystemFor(requestQuarantinePolicy),
  createCrashSpreadSystem,
  createOrderSystem,
  createLedgerProposalSystem,
  createBodySystem,
  createSubmissionSystem,
  createWindowSystem,
  createPlanSystem,
  createAdmissionSystem,
  createAttemptFactSystem,
  createCallerDisconnectSystem,
  createDeadlineSystem,
  createDemandSystem,
  createFlowSystem,
  createRoutingSystem,
  createDispatchSystem,
  createEarlyStopSystem,
  createSampleSystem,
  createCompletionSystem,
  createFetchSystem,
  createLotSystem,
];

const declarationSystems: readonly SystemFactory[] = [
  createClockJumpSystem,
  createInboxSystem,
  createReplicaSystem,
  createVoterSystem,
  createApplySystem,
  createEvacuationSystem,
  createCompactionSystem,
  createDaemonSystem,
  createRegistrySystem,
  createQuarantineSystemFor(callQuarantinePolicy),
  createCrashSpreadSystem,
  createCallSystem,
  createSendSystem,
  createOriginSystem,
  createTextSourceSystem,
  createRunnerSystem,
  createRunSystem,
  createTextSavingSystem,
  createScoringSystem,
  createResultListingSystem,
  createJobRetentionSystem,
  createWeightSystem,
  createAssignmentSystem,
  createRunMigrationSystem,
  createEngineLoadSystem,
  createColdSystem,
  createContentHoldingSystem,
  createContentStoringSystem,
  createContentHolderSystem,
  createJobReadSystem,
  createContentReadSystem,
  createMeteringSystem,
  createCapacitySystem,
  createAbsenceSystem,
  createVoterLagSystem,
];

/** Systems of each profile, in the order in which they run in each round of a tick. */
const systemsOfProfile: Readonly<Record<Profile, readonly SystemFactory[]>> = {
  tree: treeSystems,
  declaration: declarationSystems,
};

/** A daemon without ports: its world and the ticker of its systems. */
export interface Core {
  readonly world: World;
  readonly ticker: Ticker;
}

/** Creates a core whose tables contain only rows that derive from the settings. */
export const createCore = (
  options: WorldOptions,
  now: Instant,
  profile: Profile = Profile.Tree,
): Core => {
  const world = createWorld(options);
  initializeSettings(world, options.restored);
  insertDaemons(world, now);
  insertReplica(world, now);
  const systems = systemsOfProfile[profile].map((create) => create(world));
  return { world, ticker: createTicker(world.allTables, systems) };
};
