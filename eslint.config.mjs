/** Lint rules: Google TypeScript style plus the house rules that a linter can check. */
import js from '@eslint/js';
import * as tseslint from 'typescript-eslint';
import jsdoc from 'eslint-plugin-jsdoc';

const HOUSE_SYNTAX = [
  {
    selector: 'ImportDeclaration > ImportSpecifier',
    message: 'Import modules as namespaces: import * as name from "…".',
  },
  {
    selector: 'ImportDeclaration > ImportDefaultSpecifier',
    message: 'Import modules as namespaces: import * as name from "…".',
  },
  {
    selector: 'TSInterfaceBody > TSPropertySignature[readonly!=true]',
    message: 'Data is read-only: mark the property readonly.',
  },
  {
    selector: 'TSTypeLiteral > TSPropertySignature[readonly!=true]',
    message: 'Data is read-only: mark the property readonly.',
  },
  {
    selector: 'TSPropertySignature > TSTypeAnnotation > TSArrayType',
    message: 'Data is read-only: use a readonly array.',
  },
  {
    selector: 'ExportDefaultDeclaration',
    message: 'Use named exports.',
  },
];

/** Names of the users' platform that cannot be mistaken for others. */
const PLATFORM_NAMES = [
  'request-id',
  'deadline-ms',
  'caller-service',
  'expect-instance',
  'server-seal',
  'not-executed',
  'server-load',
  'server-limit',
  'cold-ms',
  'instance-id',
  'keyed\\.\\w+',
  'log-(append|newest)',
  'evacuate\\/',
  'route_kind',
  'path_prefix',
  'timeout_s',
  'target_latency_s',
  'node_info',
  'slot_count',
  'cold_left_s',
  'cold_start_s',
  'cold_per_s',
  'health_path',
  'max_conns',
  'grace_s',
  'budget_slack',
  'retry_budget_ratio',
  'cold_over',
  'api_keys',
  'rate_per_s',
  'burst_size',
  'no_auth',
  'strict_revoke',
  'revoke_s',
  'quota_(window_s|overage|slack)',
  'expose_(share|slack)',
  'rollback_s',
  'rollout\\/',
  'target_version',
  'duration_s',
];

const PLATFORM_SYNTAX = {
  selector: `Literal[value=/^(${PLATFORM_NAMES.join('|')})$/i]`,
  message: 'Only platform/ knows the names of the users’ platform.',
};

const FORBIDDEN_IN_COMMON = [
  'Date',
  'setTimeout',
  'setInterval',
  'setImmediate',
  'process',
  'console',
  'performance',
  'fetch',
];

export default tseslint.config(
  {
    ignores: [
      'build/',
      'target/',
      'journal/',
      'node_modules/',
      'src/generated/',
    ],
  },
  js.configs.recommended,
  {
    files: ['**/*.cjs'],
    languageOptions: {
      globals: {process: 'readonly', __dirname: 'readonly'},
    },
  },
  {
    files: ['**/*.mjs'],
    languageOptions: {
      globals: {
        process: 'readonly',
        console: 'readonly',
        structuredClone: 'readonly',
        setTimeout: 'readonly',
        Buffer: 'readonly',
        URL: 'readonly',
      },
    },
  },
  ...tseslint.configs.recommended.map(c => ({...c, files: ['**/*.ts']})),
  {
    files: ['**/*.ts'],
    languageOptions: {parserOptions: {projectService: true}},
    plugins: {jsdoc},
    rules: {
      'no-restricted-syntax': ['error', ...HOUSE_SYNTAX],
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        {considerDefaultExhaustiveForUnions: true},
      ],
      '@typescript-eslint/prefer-readonly': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: 'interface',
          format: ['PascalCase'],
          custom: {regex: '^I[A-Z]', match: false},
        },
        {
          selector: ['classProperty', 'classMethod', 'function'],
          modifiers: [],
          format: ['camelCase', 'UPPER_CASE'],
          leadingUnderscore: 'forbid',
        },
      ],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^unused', varsIgnorePattern: '^unused'},
      ],
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      curly: ['error', 'multi-line'],
      'max-lines': [
        'error',
        {max: 400, skipComments: true, skipBlankLines: true},
      ],
      'max-len': [
        'error',
        {
          code: 100,
          ignoreUrls: true,
          ignoreStrings: true,
          ignoreTemplateLiterals: true,
        },
      ],
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: {
            ClassDeclaration: true,
            FunctionDeclaration: true,
            MethodDefinition: false,
          },
          checkConstructors: false,
          contexts: [
            'ExportNamedDeclaration > TSInterfaceDeclaration',
            'ExportNamedDeclaration > TSTypeAliasDeclaration',
          ],
        },
      ],
    },
  },
  {
    files: ['src/common/**/*.ts'],
    ignores: ['src/common/**/*.test.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: [
                'node:*',
                'undici',
                'hot-shots',
                'loglevel',
                '@trpc/*',
                '**/node/**',
                '**/cli/**',
                '**/platform/**',
              ],
              message: 'src/common is free of I/O and imports no higher layer.',
            },
          ],
        },
      ],
      'no-restricted-globals': ['error', ...FORBIDDEN_IN_COMMON],
      'no-restricted-properties': [
        'error',
        {object: 'Math', property: 'random', message: 'Take a RandomSource.'},
      ],
    },
  },
  {
    files: ['src/**/*.ts'],
    rules: {
      'no-restricted-syntax': ['error', ...HOUSE_SYNTAX, PLATFORM_SYNTAX],
    },
  },
  {
    files: ['src/node/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['**/cli/**', '**/daemon/**', '**/platform/**'],
              message: 'src/node imports no higher layer.',
            },
          ],
        },
      ],
    },
  },
  {
    files: ['**/*.test.ts', 'test/**/*.ts', 'bench/**/*.ts', 'tools/**/*.ts'],
    rules: {
      'jsdoc/require-jsdoc': 'off',
      '@typescript-eslint/no-floating-promises': 'off',
    },
  },
);
