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
      // Node runs the sources with their real extension, so imports name it.
      'import-x/extensions': ['error', 'always', { ignorePackages: true }],
      // The house style asks for named exports only.
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      // Development tools live beside the sources of this one package.
      'import-x/no-extraneous-dependencies': 'off',
      'no-underscore-dangle': 'off',
      // Systems update the records of their tables in place.
      'no-param-reassign': ['error', { props: false }],
      // A union type starts on its own line, a member's bar before each member.
      '@stylistic/operator-linebreak': ['error', 'before', { overrides: { '=': 'ignore' } }],
      // A method that an interface asks for may not need its object.
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': [
        'error', { ignoreClassesThatImplementAnInterface: true },
      ],
    },
  },
  { files: ['eslint.config.js'], rules: { 'import-x/no-default-export': 'off' } },
  // A test's fakes stand beside it.
  { files: ['**/*.test.ts'], rules: { 'max-classes-per-file': 'off' } },
  // The examples import the package as an embedder does, by subpath.
  { files: ['examples/library/**'], rules: { 'import-x/extensions': 'off' } },
  {
    files: ['scripts/**', 'bench/**', 'standins/**', 'examples/**'],
    rules: { 'no-console': 'off' },
  },
];
