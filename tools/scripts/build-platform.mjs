// Builds target/pulleystack.cjs, the entry instance for the users' platform, as one bundle.
import { build } from 'esbuild'

const OPTIONAL = /^(dtrace-provider|bufferutil|utf-8-validate|msgpackr-extract|source-map-support|mv|safe-json-stringify|moment)$/

// Optional native helpers of our libraries are not needed; each library does without.
const leaveOutOptional = {
  name: 'leave-out-optional',
  setup (builder) {
    builder.onResolve({ filter: OPTIONAL }, ({ path: name }) => ({ path: name, namespace: 'left-out' }))
    builder.onLoad({ filter: /.*/, namespace: 'left-out' }, () => ({ contents: 'throw new Error("not in the bundle")' }))
  },
}

await build({
  entryPoints: ['platform/adapter/src/main.ts'],
  outfile: 'target/pulleystack.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  plugins: [leaveOutOptional],
  logLevel: 'warning',
})
