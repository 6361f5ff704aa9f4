// Bundles a program and its dependencies into one file.
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

/**
 * Bundles an entry point and its imports without unused code, because every process compiles the whole file at startup. Returns esbuild's metafile.
 */
export async function writeBundle ({ entryPoint, outfile, define = {} }) {
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
    plugins: [omitOptionalModules],
    define,
    logLevel: 'warning',
    metafile: true,
  })
  return metafile
}
