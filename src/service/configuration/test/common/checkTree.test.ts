/** Validation of settings trees: each cross check reports the fault that it is meant to detect. */
import test from 'ava';
import { checkTree } from '../../common/checkTree.js';

const createDigest = (digit: string): string => digit.repeat(64);

const planner = { kind: 'engine', models: ['planner'] };
const yard = { kind: 'plain', path: '/yard' };

const depot = { services: ['yard'], keys: { main: { digest: createDigest('a') } } };
const sameKey = { services: [], keys: { spare: { digest: createDigest('a') } } };

const createTree = (services: object, workspaces: object = {}): object => ({
  services: { planner, yard, ...services },
  workspaces: { depot, ...workspaces },
});

const listFaults = (document: unknown): readonly string[] =>
  checkTree(document).match(
    () => [],
    (faults) => faults.map(({ kind, path }) => `${kind} ${path}`),
  );

const createTreeWithPlainService = (columns: object): object =>
  createTree({ sync: { kind: 'plain', ...columns } });
const createTreeWithEngineService = (columns: object): object =>
  createTree({ other: { kind: 'engine', ...columns } });
const createTreeUsing = (...services: string[]): object => createTree({}, { desk: { services } });
const createTreeWithOpenService = (idempotent: boolean): object =>
  createTreeWithPlainService({ path: '/sync', open: true, idempotent });

/** Documents by description, each with the expected fault, if any. */
const crossChecks: Readonly<Record<string, readonly [object, string?]>> = {
  'a good tree': [createTree({})],
  'an unknown service': [createTreeUsing('yards'), 'unresolved workspaces.desk.services[0]'],
  'a property of every object': [
    createTreeUsing('constructor'),
    'unresolved workspaces.desk.services[0]',
  ],
  'a service named twice': [
    createTreeUsing('yard', 'yard'),
    'repeated workspaces.desk.services[1]',
  ],
  'a plain service without path': [createTreeWithPlainService({}), 'missing services.sync.path'],
  'a plain service with models': [
    createTreeWithPlainService({ path: '/sync', models: ['one'] }),
    'conflict services.sync.models',
  ],
  'an engine without models': [createTreeWithEngineService({}), 'missing services.other.models'],
  'an engine with a path': [
    createTreeWithEngineService({ models: ['one'], path: '/one' }),
    'conflict services.other.path',
  ],
  'a repeated path': [createTreeWithPlainService({ path: '/yard' }), 'repeated services.sync.path'],
  'a path below another': [
    createTreeWithPlainService({ path: '/yard/sync' }),
    'conflict services.sync.path',
  ],
  'a path with the first letters of another': [createTreeWithPlainService({ path: '/yard-sync' })],
  'a slash at the end of a path': [
    createTreeWithPlainService({ path: '/sync/' }),
    'badForm services.sync.path',
  ],
  'a model of two services': [
    createTreeWithEngineService({ models: ['planner'] }),
    'repeated services.other.models[0]',
  ],
  'a key of two workspaces': [
    createTree({}, { desk: sameKey }),
    'repeated workspaces.desk.keys.spare.digest',
  ],
  'an open service whose calls may not be repeated': [
    createTreeWithOpenService(false),
    'conflict services.sync.open',
  ],
  'an open service whose calls may be repeated': [createTreeWithOpenService(true)],
};

Object.entries(crossChecks).forEach(([name, [document, expected]]) =>
  test(`cross check: ${name}`, (t) => {
    t.deepEqual(listFaults(document), expected === undefined ? [] : [expected]);
  }),
);

test('a service with a reserved name is rejected, although the schema ignores it', (t) => {
  const services = Object.fromEntries([['__proto__', yard]]);
  t.deepEqual(listFaults({ services, workspaces: {} }), ['unknownKey services.__proto__']);
});
