/**
 * Requests of trainers with numbers that no log entry may hold: one that is committed is applied by
 * every control daemon, again at each of its starts.
 */
import test, { type ExecutionContext } from 'ava';
import { lotRequestSchema } from '../../../../service/protocol/common/trainerProtocol.js';
import { trainerAdvancedSchema } from '../../../../service/rollout/common/ledgerCommands.js';
import type { FetchRow } from '../../../../service/rollout/common/runRows.js';
import { openTestDaemon } from '../../../main/test/node/testDaemon.js';
import { createTrainerRoutes, type TrainerPorts } from '../../node/trainerRoutes.js';

const soundLot = {
  service: 'model',
  model: 'model',
  step: 1,
  groups: [{ prompt: 'a' }, { prompt: 'b' }],
  groupSize: 8,
  stalenessBound: 1,
  remaining: 60_000,
  trainerVersion: 5,
  maxTokens: 500,
};

const oddLots: Readonly<Record<string, object>> = {
  'a group of 9e15 samples': { groupSize: Number.MAX_SAFE_INTEGER },
  'a group of a billion samples': { groupSize: 1e9 },
  'two groups of 60,000 samples': { groupSize: 60_000 },
  '200,000 groups': { groups: Array.from({ length: 200_000 }, () => ({ prompt: '' })) },
  'samples of 9e15 tokens': { maxTokens: Number.MAX_SAFE_INTEGER },
  'groups that are no list': { groups: 7 },
  'no groups': { groups: undefined },
  'an odd prompt': { groups: [{ prompt: 7 }], groupSize: 'x' },
  'a step that is too large': { step: 1e308 },
  'a version that is too large': { trainerVersion: 1e308 },
};

test('sound lots are accepted', (t) => {
  t.true(lotRequestSchema.safeParse(soundLot).success);
  const groups = Array.from({ length: 512 }, () => ({ prompt: 'a' }));
  t.true(lotRequestSchema.safeParse({ ...soundLot, groups }).success, 'a step of 4,096 samples');
});

Object.entries(oddLots).forEach(([name, columns]) =>
  test(`a lot with ${name} is refused`, (t) => {
    t.false(lotRequestSchema.safeParse({ ...soundLot, ...columns }).success);
  }),
);

/** Fetches a batch through the routes; returns the status and the row that reached the port. */
const fetchBatch = async (t: ExecutionContext, path: string) => {
  const daemon = await openTestDaemon();
  t.teardown(() => daemon.dispose());
  const rows: FetchRow[] = [];
  const ports = {
    relay: { isNeeded: () => false },
    fetches: {
      fetch: (row: FetchRow) => {
        rows.push(row);
        return Promise.resolve(new Response(null, { status: 202 }));
      },
    },
  } as unknown as TrainerPorts;
  const routes = createTrainerRoutes(daemon.world, ports, () => 0);
  const response = await routes.request(`/v1/lots/lot-1/batches/${path}`, {
    headers: { authorization: 'Bearer key-one' },
  });
  return { status: response.status, rows };
};

test('a sound fetch reaches the ledger', async (t) => {
  const { status, rows } = await fetchBatch(t, '3?trainerVersion=7&wait=100');
  t.is(status, 202);
  t.like(rows[0], { cursor: 3, trainerVersion: 7 });
});

['9'.repeat(400), '9007199254740993', '3?trainerVersion=1e308', '3?trainerVersion=1e999']
  .concat(['3?trainerVersion=9007199254740993', '3?trainerVersion=x', '3?trainerVersion=-1'])
  .forEach((path) =>
    test(`a fetch of ${path.slice(0, 40)} brings nothing unreadable to the ledger`, async (t) => {
      const { rows } = await fetchBatch(t, path);
      rows.forEach(({ cursor, trainerVersion }) => {
        const command = { kind: 'trainerAdvanced', lot: 'lot-1', cursor, trainerVersion: 0 };
        const advanced = { ...command, trainerVersion: trainerVersion ?? 0 };
        t.true(trainerAdvancedSchema.safeParse(advanced).success);
      });
      t.true(rows.length <= 1);
    }),
  );
