import test from 'ava';
import { asBrand } from '../../../../base/common/brand.js';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import { testDeclarationCommand } from '../../../../../standins/virtual/fleetFixture.js';
import type { ProposalId } from '../../common/consensusTables.js';

const proposal = asBrand<ProposalId>('again');
/** An index well beyond the entries that the core has appended itself. */
const firstIndex = 900;

const commit = (core: FleetCore, id: ProposalId, index: number, version: number): void => {
  core.world.committedEntries.append({
    index,
    term: 1,
    proposal: id,
    origin: 'd1',
    command: testDeclarationCommand(version),
  });
  core.settle();
};

test('a proposal that is in the log twice is applied once and keeps its first outcome', (t) => {
  const core = createFleetCore();
  commit(core, proposal, firstIndex, 5);
  const first = core.world.rememberedOutcomes.get(proposal);
  t.deepEqual(first?.outcome, { kind: 'applied', index: firstIndex });
  commit(core, asBrand('between'), firstIndex + 1, 6);
  commit(core, proposal, firstIndex + 2, 5);
  t.deepEqual(core.world.rememberedOutcomes.get(proposal), first);
  t.deepEqual(core.world.proposalOutcomes.get(proposal)?.outcome, first?.outcome);
});
