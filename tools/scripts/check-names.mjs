// Checks that the name of every function and method begins with a verb listed in docs/verbs.md, or is listed there as an
// exception. `--words` also prints the unknown first words with their numbers of uses.
import fs from 'node:fs'
import path from 'node:path'
import ts from 'typescript'

const SKIPPED_DIRS = new Set(['node_modules', 'dist', '.git', 'test', 'features'])
const PREDICATES = new Set(['is', 'has', 'may', 'can', 'have', 'must'])

function listSources (dir) {
  return fs.readdirSync(dir, { withFileTypes: true }).flatMap((entry) => {
    const name = path.join(dir, entry.name)
    if (entry.isDirectory()) return SKIPPED_DIRS.has(entry.name) ? [] : listSources(name)
    return entry.name.endsWith('.ts') ? [name] : []
  })
}

function readVerbs () {
  const page = fs.readFileSync('docs/verbs.md', 'utf8')
  const verbs = [...page.matchAll(/^\| `(\w+)` \|/gm)].map((match) => match[1])
  const exceptions = [...page.matchAll(/^- `(\w+)`/gm)].map((match) => match[1])
  return { verbs: new Set(verbs), exceptions: new Set(exceptions) }
}

function getName (node) {
  if ((ts.isFunctionDeclaration(node) || ts.isMethodDeclaration(node)) && node.name) return node.name.text
  if (ts.isVariableDeclaration(node) && node.initializer && ts.isArrowFunction(node.initializer)) return node.name.text
  return undefined
}

function listNames (file) {
  const source = ts.createSourceFile(file, fs.readFileSync(file, 'utf8'), ts.ScriptTarget.Latest, true)
  const names = []
  const visit = (node) => {
    const name = getName(node)
    if (name) names.push(name)
    ts.forEachChild(node, visit)
  }
  visit(source)
  return names
}

function getVerb (name) {
  return /^[a-z]+/.exec(name)?.[0] ?? name
}

const { verbs, exceptions } = readVerbs()
const unknownVerbs = new Map()
for (const file of listSources('.')) {
  for (const name of listNames(file)) {
    const verb = getVerb(name)
    if (verbs.has(verb) || PREDICATES.has(verb) || exceptions.has(name)) continue
    unknownVerbs.set(verb, [...unknownVerbs.get(verb) ?? [], `${file}: ${name}`])
  }
}
for (const places of unknownVerbs.values()) console.error(places.join('\n'))
if (process.argv.includes('--words')) console.log([...unknownVerbs].map(([verb, places]) => `${verb} ${places.length}`).join('\n'))
process.exit(unknownVerbs.size === 0 ? 0 : 1)
