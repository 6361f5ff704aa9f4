// Bundles a program and its dependencies into one file.
import path from 'node:path'
import { build } from 'esbuild'

/** Optional dependencies of the libraries, which are left out of the bundle. */
const OPTIONAL_MODULES = /^(dtrace-provider|bufferutil|utf-8-validate|msgpackr-extract|source-map-support|mv|safe-json-stringify|moment)$/

const omitOptionalModules = {
  name: 'omit-optional-modules',
  setup (builder) {
    builder.onResolve({ filter: OPTIONAL_MODULES }, ({ path: name }) => ({ path: name, namespace: 'omitted' }))
    builder.onLoad({ filter: /.*/, namespace: 'omitted' }, () => ({ contents: 'throw new Error("optional module is not bundled")' }))
  },
}

/** Leaves imports out of the bundle; they are loaded from the given files instead, by specifier. */
function loadFrom (files) {
  return {
    name: 'load-from-files',
    setup (builder) {
      builder.onResolve({ filter: /^\./ }, ({ path: specifier }) => specifier in files ? { path: files[specifier], external: true } : undefined)
    },
  }
}

/** Writes the entry process for the platform: a small file that handles signals at once, and the one that it loads then. Returns the first one's path. */
export async function writePlatformBundles (folder) {
  const program = path.join(folder, 'pulleystack.cjs')
  await writeBundle({ entryPoint: 'platform/adapter/src/runPlatformEntry.ts', outfile: path.join(folder, 'entry.cjs') })
  await writeBundle({ entryPoint: 'platform/adapter/src/main.ts', outfile: program, files: { './runPlatformEntry.js': './entry.cjs' } })
  return program
}

/**
 * Bundles an entry point and its imports without unused code, because every process compiles the whole file at startup. Returns esbuild's metafile.
 */
export async function writeBundle ({ entryPoint, outfile, define = {}, files = {} }) {
  const { metafile } = await build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    mainFields: ['module', 'main'],
    // The "node" export condition selects the CommonJS build, which esbuild can't tree-shake.
    alias: { rxjs: './node_modules/rxjs/dist/esm/index.js' },
    plugins: [omitOptionalModules, loadFrom(files)],
    define,
    logLevel: 'warning',
    metafile: true,
  })
  return metafile
}
