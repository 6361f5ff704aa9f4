// Checks that every workspace package has a README of at least two lines, a src/index.ts and a manifest that lists
// exactly the packages it imports. `--write` rewrites the manifests.
import fs from 'node:fs'
import path from 'node:path'

const DOMAIN_DIRS = ['core', 'config', 'backend', 'emulator', 'platform', 'membership', 'directory', 'routing', 'placement', 'timeline', 'gateway', 'program', 'tools']
const IMPORT_PATTERN = /^(?:import '|(?:import|export|\}).* from ')([^'.][^']*)'/gm
const root = JSON.parse(fs.readFileSync('package.json', 'utf8'))
const shouldWrite = process.argv.includes('--write')
const problems = []

function listFiles (dir) {
  if (!fs.existsSync(dir)) return []
  return fs.readdirSync(dir, { recursive: true }).map((name) => path.join(dir, name)).filter((name) => name.endsWith('.ts'))
}

function getPackageOf (specifier) {
  const parts = specifier.split('/')
  return specifier.startsWith('@') ? parts.slice(0, 2).join('/') : parts[0]
}

function listImports (dir) {
  const found = new Set()
  for (const file of listFiles(dir)) {
    for (const match of fs.readFileSync(file, 'utf8').matchAll(IMPORT_PATTERN)) {
      if (!match[1].startsWith('node:')) found.add(getPackageOf(match[1]))
    }
  }
  return [...found].sort()
}

function getVersion (name) {
  if (name.startsWith('@pulleystack/')) return '*'
  const version = root.dependencies[name] ?? root.devDependencies[name]
  if (!version) problems.push(`${name} is imported but not listed in the root package.json`)
  return version
}

function buildManifest (domain, name, dir) {
  const self = `@pulleystack/${domain}.${name}`
  const used = listImports(path.join(dir, 'src')).filter((it) => it !== self)
  const usedByTests = listImports(path.join(dir, 'test')).filter((it) => it !== self && !used.includes(it))
  const manifest = { name: self, version: '0.1.0', private: true, type: 'module', exports: './src/index.ts' }
  if (used.length) manifest.dependencies = Object.fromEntries(used.map((it) => [it, getVersion(it)]))
  if (usedByTests.length) manifest.devDependencies = Object.fromEntries(usedByTests.map((it) => [it, getVersion(it)]))
  return `${JSON.stringify(manifest, null, 2)}\n`
}

function checkPackage (domain, name) {
  const dir = path.join(domain, name)
  if (!fs.existsSync(path.join(dir, 'src'))) return
  const readme = path.join(dir, 'README.md')
  const lines = fs.existsSync(readme) ? fs.readFileSync(readme, 'utf8').trim().split('\n') : []
  if (lines.length < 2) problems.push(`${dir}/README.md needs at least two lines that describe the package`)
  if (!fs.existsSync(path.join(dir, 'src/index.ts'))) problems.push(`${dir} has no src/index.ts`)
  const expected = buildManifest(domain, name, dir)
  const file = path.join(dir, 'package.json')
  const current = fs.existsSync(file) ? fs.readFileSync(file, 'utf8') : ''
  if (current === expected) return
  if (shouldWrite) fs.writeFileSync(file, expected)
  else problems.push(`${file} doesn't list exactly the imported packages (run node tools/scripts/check-workspace.mjs --write)`)
}

for (const domain of DOMAIN_DIRS) {
  if (!fs.existsSync(domain)) continue
  for (const name of fs.readdirSync(domain)) checkPackage(domain, name)
}
for (const problem of problems) console.error(problem)
process.exit(problems.length ? 1 : 0)
