/** Settings trees: each cross check refuses what it is for. */
import test from 'ava';
import { checkTree } from '../../common/checkTree.js';

const digest = (digit: string): string => digit.repeat(64);

const planner = { kind: 'engine', models: ['planner'] };
const yard = { kind: 'plain', path: '/yard' };

const depot = { services: ['yard'], keys: { main: { digest: digest('a') } } };
const sameKey = { services: [], keys: { spare: { digest: digest('a') } } };

const treeWith = (services: object, workspaces: object = {}): object => ({
  services: { planner, yard, ...services },
  workspaces: { depot, ...workspaces },
});

const faultsOf = (document: unknown): readonly string[] =>
  checkTree(document).match(
    () => [],
    (faults) => faults.map(({ kind, path }) => `${kind} ${path}`),
  );

const plain = (columns: object): object => treeWith({ sync: { kind: 'plain', ...columns } });
const engine = (columns: object): object => treeWith({ other: { kind: 'engine', ...columns } });
const uses = (...services: string[]): object => treeWith({}, { desk: { services } });
const open = (idempotent: boolean): object => plain({ path: '/sync', open: true, idempotent });

/** A document for each cross check, with the fault that it has, if any. */
const crossChecks: Readonly<Record<string, readonly [object, string?]>> = {
  'a good tree': [treeWith({})],
  'an unknown service': [uses('yards'), 'unresolved workspaces.desk.services[0]'],
  'a property of every object': [uses('constructor'), 'unresolved workspaces.desk.services[0]'],
  'a service named twice': [uses('yard', 'yard'), 'repeated workspaces.desk.services[1]'],
  'a plain service without path': [plain({}), 'missing services.sync.path'],
  'a plain service with models': [
    plain({ path: '/sync', models: ['one'] }),
    'conflict services.sync.models',
  ],
  'an engine without models': [engine({}), 'missing services.other.models'],
  'an engine with a path': [
    engine({ models: ['one'], path: '/one' }),
    'conflict services.other.path',
  ],
  'a repeated path': [plain({ path: '/yard' }), 'repeated services.sync.path'],
  'a path below another': [plain({ path: '/yard/sync' }), 'conflict services.sync.path'],
  'a path with the first letters of another': [plain({ path: '/yard-sync' })],
  'a slash at the end of a path': [plain({ path: '/sync/' }), 'badForm services.sync.path'],
  'a model of two services': [engine({ models: ['planner'] }), 'repeated services.other.models[0]'],
  'a key of two workspaces': [
    treeWith({}, { desk: sameKey }),
    'repeated workspaces.desk.keys.spare.digest',
  ],
  'an open service whose calls may not be repeated': [open(false), 'conflict services.sync.open'],
  'an open service whose calls may be repeated': [open(true)],
};

Object.entries(crossChecks).forEach(([name, [document, expected]]) =>
  test(`cross check: ${name}`, (t) => {
    t.deepEqual(faultsOf(document), expected === undefined ? [] : [expected]);
  }),
);

test('a reserved name of a service is refused, though the schema passes over it', (t) => {
  const services = Object.fromEntries([['__proto__', yard]]);
  t.deepEqual(faultsOf({ services, workspaces: {} }), ['unknownKey services.__proto__']);
});
