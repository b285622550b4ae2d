import { HonoRequest } from 'hono/request';
import test from 'ava';
import { encodeAnswer, Framing } from '../../../../../standins/hostile/rawAnswers.js';
import { startRawServer } from '../../../../../standins/hostile/rawServer.js';
import { Role } from '../../../../infrastructure/settings/common/deployment.js';
import { DaemonState } from '../../../../service/membership/common/membershipTables.js';
import type { World } from '../../../../service/world/common/world.js';
import { createTrainerRelay } from '../../node/trainerRelay.js';

test('a trainer gets no part of an answer without length that is reset', async (t) => {
  const server = await startRawServer((_request, socket) => {
    const answer = { status: 200, headers: {}, body: '[1, 2]', framing: Framing.Connection };
    socket.write(encodeAnswer(answer).slice(0, -3));
    socket.resetAndDestroy();
  });
  t.teardown(server.dispose);
  const daemon = {
    id: 'c1',
    name: 'c1',
    roles: [Role.Control],
    state: DaemonState.Alive,
    callerAddress: server.address,
  };
  const world = {
    deployment: { daemons: [daemon] },
    daemons: { rows: () => [daemon].values() },
    random: { nextInteger: () => 0 },
    self: { roles: [Role.Entry] },
  } as unknown as World;
  const relay = createTrainerRelay(world);
  t.teardown(relay.dispose);
  const response = await relay.forward(new HonoRequest(new Request('http://test/v1/lots/l1')));
  t.is(response.status, 503, await response.text());
});
