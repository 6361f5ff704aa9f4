import path from 'node:path'
import { writeBundle } from '../../scripts/bundle.mjs'

const BUNDLES = path.join(import.meta.dirname, '../../../dist/bench')
// The only module that asks for its place is the one that reads the examples.
const EXAMPLES_FROM = path.join(import.meta.dirname, '../../../program/demo/src')

/** Bundles a worker's module like the binary, so that what is measured is what ships. */
export async function buildWorker (module: string): Promise<string> {
  const outfile = path.join(BUNDLES, `${path.basename(path.dirname(module))}-${path.basename(module, '.ts')}.cjs`)
  await writeBundle({ entryPoint: module, outfile, define: { 'import.meta.dirname': JSON.stringify(EXAMPLES_FROM) } })
  return outfile
}
