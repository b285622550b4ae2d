/**
 * Small deployments and settings trees for tests on virtual time.
 */
import { createHash } from 'node:crypto';
import { asBrand } from '../../src/base/common/brand.js';
import type { Milliseconds } from '../../src/base/common/time.js';
import {
  deploymentSchema,
  type Deployment,
} from '../../src/infrastructure/settings/common/deployment.js';
import { treeSchema, type Tree } from '../../src/service/configuration/common/tree.js';
import type { KeyDigest } from '../../src/service/world/common/identifiers.js';

const firstCallerPort = 7101;
const firstPeerPort = 7201;

/** Time for a leader to be elected and for every daemon to learn that its settings are in force. */
export const settleMilliseconds: Milliseconds = 10_000;

/**
 * `count` daemons named `d1`, `d2`, … in zones `z1` to `z3`; the first `voters` have data folders.
 */
export const createTestDeployment = (count: number, voters: number): Deployment =>
  deploymentSchema.parse({
    name: 'test',
    tree: 'test.tree.toml',
    daemons: Array.from({ length: count }, (_, index) => ({
      name: `d${index + 1}`,
      zone: `z${(index % 3) + 1}`,
      region: index % 3 === 2 ? 'r2' : 'r1',
      roles: index < voters ? ['entry', 'control'] : ['entry'],
      callerAddress: `127.0.0.1:${firstCallerPort + index}`,
      peerAddress: `127.0.0.1:${firstPeerPort + index}`,
      ...(index < voters ? { dataFolder: `d${index + 1}` } : {}),
    })),
  });

/** The SHA-256 digest of a key, in hexadecimal. */
export const digestOf = (key: string): KeyDigest =>
  asBrand(createHash('sha256').update(key).digest('hex'));

/**
 * A settings tree with an engine service `model`, a plain service `depot` that is not idempotent,
 * and workspaces `one` and `two` with the keys `key-one` and `key-two`.
 */
export const createTestTree = (): Tree =>
  treeSchema.parse({
    services: {
      model: { kind: 'engine', models: ['model'] },
      depot: { kind: 'plain', path: '/depot', idempotent: false },
    },
    workspaces: {
      one: { services: ['model', 'depot'], keys: { main: { digest: digestOf('key-one') } } },
      two: { services: ['model'], keys: { main: { digest: digestOf('key-two') } } },
    },
    operators: { chief: { digest: digestOf('operator-key') } },
  });
