import stylistic from '@stylistic/eslint-plugin'
import tseslint from 'typescript-eslint'

export default tseslint.config(
  { ignores: ['dist/**', 'target/**', 'node_modules/**', '.cache/**'] },
  ...tseslint.configs.recommended,
  stylistic.configs.customize({ indent: 2, quotes: 'single', semi: false, braceStyle: '1tbs', arrowParens: true, commaDangle: 'always-multiline' }),
  {
    rules: {
      '@stylistic/space-before-function-paren': ['error', 'always'],
      '@stylistic/max-len': ['error', { code: 160, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreRegExpLiterals: true }],
      '@stylistic/max-statements-per-line': ['error', { max: 1 }],
      'max-lines': ['error', { max: 400 }],
      'max-lines-per-function': ['error', { max: 70 }],
      'max-depth': ['error', 4],
      'eqeqeq': 'error',
      'prefer-const': 'error',
      'no-restricted-syntax': ['error', { selector: 'TSEnumDeclaration', message: 'Use a constant object in place of an enum.' }],
    },
  },
  {
    files: ['**/test/**'],
    rules: { 'max-lines-per-function': 'off' },
  },
)
