// Builds dist/pulleystack, a Node.js single executable application that contains the esbuild bundle and the examples.
import { execFileSync } from 'node:child_process'
import fs from 'node:fs'
import path from 'node:path'
import { writeBundle } from './bundle.mjs'

const DIST = 'dist'
const BINARY = path.join(DIST, 'pulleystack')
const BUNDLE = path.join(DIST, 'pulleystack.cjs')
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

fs.mkdirSync(DIST, { recursive: true })
await writeBundle({ entryPoint: 'program/cli/src/main.ts', outfile: BUNDLE, define: { 'import.meta.dirname': '__dirname' } })
const assets = Object.fromEntries(fs.readdirSync('examples').map((file) => [file, path.join('examples', file)]))
const seaConfig = path.join(DIST, 'sea-config.json')
fs.writeFileSync(seaConfig, JSON.stringify({ main: BUNDLE, output: path.join(DIST, 'sea.blob'), disableExperimentalSEAWarning: true, assets }))
execFileSync(process.execPath, ['--experimental-sea-config', seaConfig], { stdio: 'ignore' })
fs.rmSync(BINARY, { force: true })
fs.copyFileSync(process.execPath, BINARY)
fs.chmodSync(BINARY, 0o755)
execFileSync(process.execPath, ['node_modules/postject/dist/cli.js', BINARY, 'NODE_SEA_BLOB', path.join(DIST, 'sea.blob'), '--sentinel-fuse', SEA_FUSE], { stdio: 'ignore' })
console.error(`built ${BINARY}`)
