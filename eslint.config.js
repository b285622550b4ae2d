import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

/** The layers from the lowest to the highest; a file imports only from its own layer or below. */
const layers = ['base', 'infrastructure', 'service', 'daemon', 'command'];

const aboveLayer = (layer) => layers.slice(layers.indexOf(layer) + 1);

const layerPatterns = (layer) =>
  aboveLayer(layer).map((above) => ({
    regex: `^(\\.\\./)+${above}/`,
    message: `Layer ${layer} may not import from layer ${above}; move the shared part down.`,
  }));

const productPatterns = [
  {
    regex: '/(standins|bench|scripts|proof)/',
    message: 'The product may not import its stand-ins, bench, proof or scripts; its tests may.',
  },
];

const purePatterns = [
  { regex: '^node:', message: 'Folders named common are pure; do I/O in a folder named node.' },
  { regex: '/node/', message: 'Folders named common may not import from folders named node.' },
];

const restrictImports = (files, patterns) => ({
  files,
  rules: { 'no-restricted-imports': ['error', { patterns }] },
});

const importsOnlyDownwards = layers.flatMap((layer) => [
  restrictImports([`src/${layer}/**/*.ts`], [...layerPatterns(layer), ...productPatterns]),
  restrictImports(
    [`src/${layer}/**/common/**/*.ts`],
    [...layerPatterns(layer), ...productPatterns, ...purePatterns],
  ),
  restrictImports([`src/${layer}/**/test/**/*.ts`], layerPatterns(layer)),
]);

const houseStyle = [
  {
    selector: 'TSEnumDeclaration',
    message: 'Use a constant object (`as const`) in place of an enum.',
  },
  {
    selector: ':matches(ClassDeclaration, ClassExpression)',
    message: 'Use a factory function that closes over its state in place of a class.',
  },
  { selector: 'SwitchStatement', message: 'Use a lookup table of handlers in place of a switch.' },
];

const clockAndRandomness = [
  {
    selector:
      ":matches(MemberExpression[object.name='Date'][property.name='now'], MemberExpression[object.name='Math'][property.name='random'], MemberExpression[object.name='performance'][property.name='now'], NewExpression[callee.name='Date'])",
    message:
      'Take the clock or the random generator as an argument; only folders named node may read them.',
  },
  {
    selector: 'CallExpression[callee.name=/^(setTimeout|setInterval|setImmediate)$/]',
    message: 'Store a deadline in a row; only folders named node may set timers.',
  },
];

const pureFolders = ['src/**/common/**/*.ts'];

export default [
  { ignores: ['out/', 'target/', 'node_modules/'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.node,
  ...configs.node.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    rules: {
      'no-restricted-syntax': ['error', ...houseStyle],
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-rename-default': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      '@typescript-eslint/consistent-type-definitions': ['error', 'interface'],
      'n/no-process-exit': 'off',
      // hono is built on the web types that Node.js 20 ships as experimental.
      'n/no-unsupported-features/node-builtins': [
        'error',
        {
          ignores: [
            'Headers',
            'ReadableStream',
            'ReadableStreamDefaultController',
            'Response',
            'Request',
            'fetch',
          ],
        },
      ],
      // Settings are read once at start, and a synced append must block what follows it.
      'n/no-sync': 'off',
      'n/hashbang': ['error', { convertPath: { 'src/**/*.ts': ['^(.+)\\.ts$', 'out/$1.js'] } }],
      'max-lines': ['error', { max: 300, skipBlankLines: false, skipComments: false }],
    },
  },
  {
    files: pureFolders,
    rules: {
      'no-restricted-syntax': ['error', ...houseStyle, ...clockAndRandomness],
    },
  },
  ...importsOnlyDownwards,
  {
    files: [
      '**/test/**/*.ts',
      'platform/bench/**',
      'bench/**/*.ts',
      'scripts/**/*.ts',
      'standins/**/*.ts',
      'proof/**/*.ts',
      '*.js',
    ],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      'no-console': 'off',
      'no-await-in-loop': 'off',
      'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }],
    },
  },
];
