import path from 'node:path'
import { writeBundle } from '../../scripts/bundle.mjs'

const BUNDLE_DIR = path.join(import.meta.dirname, '../../../dist/bench')
// Replaces `import.meta.dirname` in the bundle; only the module that reads the examples uses it.
const EXAMPLES_DIR = path.join(import.meta.dirname, '../../../program/demo/src')

/** Bundles a worker module the way the released binary is bundled and returns the path of the bundle. */
export async function buildWorker (modulePath: string): Promise<string> {
  const outfile = path.join(BUNDLE_DIR, `${path.basename(path.dirname(modulePath))}-${path.basename(modulePath, '.ts')}.cjs`)
  await writeBundle({ entryPoint: modulePath, outfile, define: { 'import.meta.dirname': JSON.stringify(EXAMPLES_DIR) } })
  return outfile
}
