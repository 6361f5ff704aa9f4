// Checks that platform-specific names (headers, paths and fields of its API) occur only in platform/ and deploy/.
import fs from 'node:fs'
import path from 'node:path'

const ALLOWED_DIRS = new Set(['platform', 'deploy'])
const SKIPPED_DIRS = new Set(['node_modules', 'dist', 'target', '.git', '.cache', 'docs', 'journal'])
const SELF = path.join('tools', 'scripts', 'check-platform-names.mjs')
const CHECKED_FILES = /\.(ts|mts|mjs|js|feature)$/

const HEADERS = [
  'Server-Stamp',
  'Not-Run',
  'Expect-Instance',
  'Prompt-Prefix',
  'Token-Count',
  'Length-Hint',
  'Request-Priority',
  'Weight-Versions',
  'Expect-Version',
  'Pin-Ms',
  'Kv-Fetch',
  'Kv-From',
  'Kv-Backup',
  'Deadline-Ms',
  'Instance-Id',
  'Server-Leaving',
]
const PATHS = ['/pulleystack/', 'kv-events', 'kv-list', 'kv-move', 'hold-take', 'hold-drop']
const FIELDS = [
  'pathPrefix"',
  'gapAimMs',
  'weightsMb"',
  'loadsPerS\\b',
  'adapterSlots"',
  'kvCapacity',
  'kvTokenBytes',
  'coldLeftMs',
  'innerPorts',
  'nodeName',
  'ttl_max_s',
  'budgetExtra',
  'budgetWindowS',
  'ceilingWindowS',
  'waitMs=',
  'addrs',
  'ttlS',
  'maxConns\\b',
]
const HEADER_PATTERNS = HEADERS.map((name) => new RegExp(`(?<![\\w-])${name}(?![\\w-])`, 'i'))
const PATTERNS = [...HEADER_PATTERNS, ...[...PATHS, ...FIELDS].map((name) => new RegExp(name))]

/** The product's own header, whose name ends like one of the platform's headers. */
const OWN_HEADER = /pulleystack-deadline-ms/gi

function listFiles (dir) {
  return fs.readdirSync(dir, { withFileTypes: true }).flatMap((entry) => {
    const name = path.join(dir, entry.name)
    if (entry.isDirectory()) return SKIPPED_DIRS.has(entry.name) || (dir === '.' && ALLOWED_DIRS.has(entry.name)) ? [] : listFiles(name)
    return CHECKED_FILES.test(entry.name) && name !== SELF ? [name] : []
  })
}

const problems = listFiles('.').flatMap((file) => fs.readFileSync(file, 'utf8').split('\n').flatMap((line, at) => {
  const text = line.replace(OWN_HEADER, '')
  const found = PATTERNS.find((pattern) => pattern.test(text))
  return found ? [`${file}:${at + 1}: ${found.source} is a platform-specific name`] : []
}))
for (const problem of problems) console.error(problem)
process.exit(problems.length ? 1 : 0)
