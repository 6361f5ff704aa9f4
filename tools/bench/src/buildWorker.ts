import path from 'node:path'
import { build } from 'esbuild'

const BUNDLES = path.join(import.meta.dirname, '../../../dist/bench')
// The only module that asks for its place is the one that reads the examples.
const EXAMPLES_FROM = path.join(import.meta.dirname, '../../../program/demo/src')
// Optional native helpers of our libraries; the binary does without them as well.
const LEFT_OUT = ['dtrace-provider', 'bufferutil', 'utf-8-validate', 'msgpackr-extract']

/** Bundles a worker's module like the binary, so that what is measured is what ships. */
export async function buildWorker (module: string): Promise<string> {
  const outfile = path.join(BUNDLES, `${path.basename(path.dirname(module))}-${path.basename(module, '.ts')}.cjs`)
  await build({
    entryPoints: [module],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    mainFields: ['module', 'main'],
    external: LEFT_OUT,
    define: { 'import.meta.dirname': JSON.stringify(EXAMPLES_FROM) },
    logLevel: 'warning',
  })
  return outfile
}
