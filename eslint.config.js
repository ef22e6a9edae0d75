import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['**/dist/', 'out/', 'target/', 'journal/', '**/gen/', 'node_modules/', '**/*.mjs', '**/*.cjs', '**/*.js'] },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'inline-type-imports' }],
      '@typescript-eslint/no-extraneous-class': ['error', { allowWithDecorator: true }],
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: 'classProperty', modifiers: ['private'], format: ['camelCase'], leadingUnderscore: 'require' },
        { selector: 'classMethod', modifiers: ['private'], format: ['camelCase'], leadingUnderscore: 'require' },
      ],
      'max-lines': ['error', { max: 500, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    // A CommonJS module has no other way to import.
    files: ['**/*.cts'],
    rules: { '@typescript-eslint/no-require-imports': ['error', { allowAsImport: true }] },
  },
  {
    // The Nest module class is a shell by design; consumers of test titles nest functions deeply.
    files: ['tests/**/*.ts', 'bench/**/*.ts', 'examples/**/*.ts'],
    rules: {
      'max-lines-per-function': 'off',
      '@typescript-eslint/switch-exhaustiveness-check': ['error', { considerDefaultExhaustiveForUnions: true }],
    },
  },
);
