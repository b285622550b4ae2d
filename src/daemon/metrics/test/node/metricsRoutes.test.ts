/**
 * Guards against an installation without a leader or a declaration that no metric shows.
 */
import test from 'ava';
import { createScrapedMetrics } from '../../../../infrastructure/metrics/node/scrapedMetrics.js';
import { asBrand } from '../../../../base/common/brand.js';
import { createFleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import { electionHandlers } from '../../../../service/consensus/common/election.js';
import { replicaOf } from '../../../../service/consensus/common/replicaLog.js';
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
