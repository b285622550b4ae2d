/**
 * Commands that no daemon could read back from the log: an entry with one would stop every daemon
 * that receives it, and every start of one that has stored it, so it must never be appended.
 */
import test from 'ava';
import { createFleetCore, type FleetCore } from '../../../../../standins/virtual/fleetCore.js';
import {
  testDeclarationCommand,
  testItem,
  testJob,
} from '../../../../../standins/virtual/fleetFixture.js';
import { ItemResult } from '../../../jobs/common/jobCommands.js';
import type { Command } from '../../common/command.js';
import { logEntrySchema } from '../../common/logEntry.js';

const listed = (version: number): Command => ({
  kind: 'itemsListed',
  job: 'j',
  results: [
    { item: 'a', result: ItemResult.Completed, text: 'x', versions: [version], score: null },
  ],
});

const unreadable: Readonly<Record<string, Command>> = {
  'a job without an id': testJob('', [testItem('a')]),
  'a result with a version of Infinity': listed(Number.POSITIVE_INFINITY),
  'a result with a version of NaN': listed(Number.NaN),
  'a weight version that is no integer': { kind: 'versionNamed', model: 'm0', version: 0.5 },
  'an unknown kind': { kind: 'unknown' } as unknown as Command,
};

const outcomeOf = ({ world }: FleetCore, id: string) =>
  world.proposalOutcomes.get(id as never)?.outcome;

Object.entries(unreadable).forEach(([name, command]) =>
  test(`${name} is rejected and not appended`, (t) => {
    const core = createFleetCore();
    core.propose('declare', testDeclarationCommand());
    core.propose('job', testJob('j', [testItem('a')]));
    const before = core.world.logEntries.size();
    core.propose('odd', command);
    core.runFor(500);
    t.is(outcomeOf(core, 'odd')?.kind, 'rejected');
    t.is(core.world.logEntries.size(), before);
    t.true(
      [...core.world.logEntries.rows()].every((entry) => logEntrySchema.safeParse(entry).success),
    );
    core.propose('next', listed(1));
    t.is(outcomeOf(core, 'next')?.kind, 'applied');
  }),
);
