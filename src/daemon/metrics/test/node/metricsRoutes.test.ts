/**
 * Guards against an installation without a leader or a declaration that no metric shows.
 */
import test from 'ava';
import { createScrapedMetrics } from '../../../../infrastructure/metrics/node/scrapedMetrics.js';
import { asBrand } from '../../../../base/common/brand.js';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import { electionHandlers } from '../../../../service/consensus/common/election.js';
import { joinProgressOf } from '../../../../service/consensus/common/joinProgress.js';
import { changeReplica, replicaOf } from '../../../../service/consensus/common/replicaLog.js';
import { ReplicaState } from '../../../../service/consensus/common/replicaTables.js';
import { VoteRefusal } from '../../../../service/consensus/common/voteRefusal.js';
import type { DaemonId } from '../../../../service/world/common/identifiers.js';
import { createMetricsRoutes } from '../../node/metricsRoutes.js';

const path = '/metrics';

test('the metrics page shows for how long a declaration is missing, and the voters', async (t) => {
  const core = createFleetCore();
  const routes = createMetricsRoutes(path, core.world, createScrapedMetrics(), core.now);
  const read = async (): Promise<string> => (await routes.request(path)).text();
  const before = await read();
  t.regex(before, /^shallotquay_declaration_missing_for [1-9]\d*$/m);
  t.regex(before, /^shallotquay_log_leader_missing_for 0$/m);
  t.regex(before, /^shallotquay_log_voters 1$/m);
  t.regex(before, /^shallotquay_log_voters_answered 0$/m);
  core.propose('declare', testDeclarationCommand());
  core.runFor(1_000);
  t.regex(await read(), /^shallotquay_declaration_missing_for 0$/m);
});

test('refused votes are counted by reason, by who refuses and by who is refused', async (t) => {
  const core = createFleetCore();
  const metrics = createScrapedMetrics();
  const world = { ...core.world, metrics };
  const candidate = { ...[...world.daemons.rows()][0]!, id: asBrand<DaemonId>('d2') };
  const { term, lastIndex, lastTerm } = replicaOf(world);
  const request = { term: term + 1, isPreVote: true, lastIndex, lastTerm } as const;
  world.members.put({ ...[...world.members.rows()][0]!, id: candidate.id, isSelf: false });
  electionHandlers.voteRequested(
    { kind: 'voteRequested', ...request },
    world,
    candidate,
    core.now(),
  );
  electionHandlers.voteAnswered(
    {
      kind: 'voteAnswered',
      term,
      isPreVote: true,
      refusal: VoteRefusal.LogBehind,
      isConditional: false,
    },
    world,
    candidate,
    core.now(),
  );
  const text = await metrics.text();
  t.regex(text, /^shallotquay_votes_refused_total\{reason="keepsToLeader"\} 1$/m);
  t.regex(text, /^shallotquay_votes_refusals_received_total\{reason="logBehind"\} 1$/m);
});

test('no metric shows how far a store is from joined, and how many voters are', async (t) => {
  const core = createFleetCore();
  const routes = createMetricsRoutes(path, core.world, createScrapedMetrics(), core.now);
  const read = async (): Promise<string> => (await routes.request(path)).text();
  const joined = await read();
  t.regex(joined, /^shallotquay_log_has_joined 1$/m);
  t.regex(joined, /^shallotquay_log_not_joined_for 0$/m);
  t.regex(joined, /^shallotquay_log_entries_lacking 0$/m);
  t.regex(joined, /^shallotquay_log_voters_current 1$/m);
  t.regex(joined, /^shallotquay_log_voters_not_joined 0$/m);
  t.regex(joined, /^shallotquay_log_snapshot_index 0$/m);
  t.regex(joined, /^shallotquay_log_compacted_index 0$/m);
  t.regex(joined, /^shallotquay_log_bytes_since_snapshot [1-9]\d*$/m);
  const { lastIndex } = replicaOf(core.world);
  changeReplica(core.world, { hasJoined: false, state: ReplicaState.Follower });
  core.runFor(1_000);
  t.regex(await read(), /^shallotquay_log_entries_lacking -1$/m, 'nobody has said how many');
  core.world.joinProgress.put({ ...joinProgressOf(core.world), reportedIndex: lastIndex + 706 });
  const lacking = await read();
  t.regex(lacking, /^shallotquay_log_has_joined 0$/m);
  t.regex(lacking, /^shallotquay_log_entries_lacking 706$/m);
  t.regex(lacking, /^shallotquay_log_not_joined_for [1-9]\d{2}$/m);
  t.regex(lacking, /^shallotquay_log_voters_current 0$/m, 'it does not lead');
});
