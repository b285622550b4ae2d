/**
 * Publishes the agreed settings to the tables that admission and routing read. The published
 * revision never decreases: while a restarted daemon replays the log, the settings it last served
 * stay in effect. The first leader proposes the tree of the settings file as the initial tree.
 */
import { asBrand } from '../../../base/common/brand.js';
import { deadlineAfter, type Instant } from '../../../base/common/time.js';
import type { System } from '../../../infrastructure/tables/common/tick.js';
import { leadershipId } from '../../consensus/common/consensusTables.js';
import { EventKind } from '../../events/common/eventKind.js';
import type { World } from '../../world/common/world.js';
import { applyTree } from './configurationTables.js';
import { servedId, type ServedRow } from './servedTables.js';
import { settingsId, settingsOf, type SettingsRow } from './settingsTables.js';
import type { JsonValue } from './treePath.js';

const proposalTimeoutMilliseconds = 10_000;

const isNewer = (settings: SettingsRow, served: ServedRow): boolean =>
  settings.revision > served.revision || (settings.isAgreed && !served.isAgreed);

const publish = (world: World, { revision, tree, isAgreed }: SettingsRow): void => {
  world.setTree(tree);
  applyTree(world, tree);
  world.served.put({ id: servedId, revision, tree, isAgreed });
  world.metrics.count('configuration.published');
  world.events.append({ kind: EventKind.SettingsPublished, subject: { revision } });
};

const publishIfNewer = (world: World): void => {
  const settings = settingsOf(world);
  if (isNewer(settings, world.served.get(servedId)!)) publish(world, settings);
};

const proposeSeedTree = (world: World, now: Instant): void => {
  const leadership = world.leadership.get(leadershipId);
  const { isAgreed, tree } = settingsOf(world);
  if (leadership?.isSelf !== true || isAgreed) return;
  world.proposals.append({
    id: asBrand(`seed-${world.self.name}-${leadership.term}`),
    command: { kind: 'treeSeeded', tree: tree as unknown as JsonValue as never },
    proposalDeadline: deadlineAfter(now, proposalTimeoutMilliseconds),
  });
};

/**
 * Initializes the settings tables from the settings file and publishes the restored settings, if
 * any, or else those of the file. Must run before the first tick.
 */
export const initializeSettings = (
  world: World,
  restored: Omit<ServedRow, 'id'> | undefined,
): void => {
  const seed = { revision: 1, tree: world.tree(), isAgreed: false };
  world.settings.put({ id: settingsId, ...seed });
  const served = restored ?? seed;
  world.setTree(served.tree);
  applyTree(world, served.tree);
  world.served.put({ id: servedId, ...served });
};

/** Creates the system that publishes newer settings and proposes the initial tree. */
export const createPublicationSystem = (world: World): System => {
  const settingsChanges = world.settings.createChangeReader();
  const leadershipChanges = world.leadership.createChangeReader();
  let proposedTerm = 0;
  return {
    name: 'publication',
    run: (now) => {
      if (settingsChanges.take().length > 0) publishIfNewer(world);
      if (leadershipChanges.take().length === 0) return;
      const term = world.leadership.get(leadershipId)?.term ?? 0;
      if (term === proposedTerm || world.leadership.get(leadershipId)?.isSelf !== true) return;
      proposedTerm = term;
      proposeSeedTree(world, now);
    },
  };
};
