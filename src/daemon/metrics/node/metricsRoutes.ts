/**
 * Metrics page for scrapers: counters and histograms of the process, and gauges of its current
 * state that are read when the page is requested.
 */
import { Hono } from 'hono';
import type { Clock } from '../../../base/common/time.js';
import type { ScrapedMetrics } from '../../../infrastructure/metrics/node/scrapedMetrics.js';
import {
  AbsenceKind,
  computeMissingMilliseconds,
} from '../../../service/absence/common/absenceTables.js';
import { countCurrentVoters } from '../../../service/absence/common/voterLagTables.js';
import { leadershipOf } from '../../../service/consensus/common/lease.js';
import { countLackingEntries } from '../../../service/consensus/common/joinProgress.js';
import { replicaOf, snapshotOf } from '../../../service/consensus/common/replicaLog.js';
import { ReplicaState } from '../../../service/consensus/common/replicaTables.js';
import { countNotJoined } from '../../../service/consensus/common/voterStatements.js';
import { countVoteAnswers } from '../../../service/consensus/common/votes.js';
import { declarationId } from '../../../service/declaration/common/declarationTables.js';
import { JobState, RunState } from '../../../service/jobs/common/jobTables.js';
import type { World } from '../../../service/world/common/world.js';
import { recordPlaceGauges } from './placeGauges.js';
import type { RouteEnvironment } from '../../front/node/decoding.js';

/** Reader of each gauge by metric name; durations are in milliseconds. */
const gaugeReaders: Readonly<Record<string, (world: World, now: number) => number>> = {
  'calls.held': (world) => world.calls.size(),
  'jobs.open': (world) => world.jobs.count('state', JobState.Open),
  'contents.held': (world) => world.heldContents.size(),
  'contents.lacking': (world) => world.lackingContents.size(),
  'runs.waiting': (world) => world.runs.count('state', RunState.Waiting),
  'runs.running': (world) => world.runs.count('state', RunState.Running),
  'runs.confirming': (world) => world.runs.count('state', RunState.Confirming),
  'runs.scoring': (world) => world.runs.count('state', RunState.Scoring),
  'registrations.known': (world) => world.registrations.size(),
  'members.known': (world) => world.daemons.size(),
  'log.lastIndex': (world) => replicaOf(world).lastIndex,
  'log.commitIndex': (world) => replicaOf(world).commitIndex,
  'log.snapshotIndex': (world) => snapshotOf(world)?.header.index ?? 0,
  'log.compactedIndex': (world) => replicaOf(world).compactedIndex,
  'log.bytesSinceSnapshot': (world) => replicaOf(world).bytesSinceSnapshot,
  'log.hasJoined': (world) => (replicaOf(world).hasJoined ? 1 : 0),
  'log.notJoinedFor': (world, now) => computeMissingMilliseconds(world, AbsenceKind.Joining, now),
  // -1: it has not heard how many entries there are.
  'log.entriesLacking': (world) =>
    replicaOf(world).hasJoined ? 0 : (countLackingEntries(world) ?? -1),
  // Of the leader; 0 on all others, so that the largest one is that of the installation.
  'log.votersCurrent': (world) =>
    replicaOf(world).state === ReplicaState.Leader ? 1 + countCurrentVoters(world) : 0,
  'log.votersNotJoined': (world, now) =>
    replicaOf(world).state === ReplicaState.Leader ? countNotJoined(world, now) : 0,
  'log.term': (world) => replicaOf(world).term,
  'log.isLeader': (world) => (leadershipOf(world).isSelf ? 1 : 0),
  'log.leaderMissingFor': (world, now) =>
    computeMissingMilliseconds(world, AbsenceKind.Leader, now),
  'log.voters': (world) => world.members.size(),
  'log.votersAnswered': countVoteAnswers,
  'declaration.missingFor': (world, now) =>
    computeMissingMilliseconds(world, AbsenceKind.Configuration, now),
  'declaration.version': (world) => world.declarations.get(declarationId)?.version ?? 0,
  'declaration.freshFor': (world, now) =>
    Math.max(-1, Math.round(leadershipOf(world).freshnessDeadline - now)),
  'process.residentBytes': () => process.memoryUsage.rss(),
  'process.heapBytes': () => process.memoryUsage().heapUsed,
};

/** Creates the route of the metrics page at `path`. */
export const createMetricsRoutes = (
  path: string,
  world: World,
  metrics: ScrapedMetrics,
  clock: Clock,
): Hono<RouteEnvironment> => {
  const routes = new Hono<RouteEnvironment>();
  routes.get(path, async () => {
    const now = clock();
    Object.entries(gaugeReaders).forEach(([name, read]) => metrics.gauge(name, read(world, now)));
    recordPlaceGauges(world, metrics, now);
    return new Response(await metrics.text(), { headers: { 'content-type': metrics.contentType } });
  });
  return routes;
};
