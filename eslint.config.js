import { configs, plugins } from 'eslint-config-airbnb-extended';

export default [
  { ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**', 'src/generated/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    rules: {
      // Node runs the TypeScript sources directly, so imports include the file extension.
      'import-x/extensions': ['error', 'always', { ignorePackages: true }],
      // The code style requires named exports.
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      // Development tools are in the same package as the sources.
      'import-x/no-extraneous-dependencies': 'off',
      'no-underscore-dangle': 'off',
      // Functions may update the properties of records that they receive.
      'no-param-reassign': ['error', { props: false }],
      // Operators, such as the bar of a union type, begin a line; "=" may also end one.
      '@stylistic/operator-linebreak': ['error', 'before', { overrides: { '=': 'ignore' } }],
      // A method that implements an interface may not use `this`.
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': [
        'error', { ignoreClassesThatImplementAnInterface: true },
      ],
    },
  },
  { files: ['eslint.config.js'], rules: { 'import-x/no-default-export': 'off' } },
  // Test files define their own fakes.
  { files: ['**/*.test.ts'], rules: { 'max-classes-per-file': 'off' } },
  // The examples import the package by subpath, as an embedding program does.
  { files: ['examples/library/**'], rules: { 'import-x/extensions': 'off' } },
  {
    files: ['scripts/**', 'bench/**', 'standins/**', 'examples/**'],
    rules: { 'no-console': 'off' },
  },
];
