// Builds target/pulleystack.cjs, the entry instance for the users' platform, as one bundle.
import { writeBundle } from './bundle.mjs'

await writeBundle({ entryPoint: 'platform/adapter/src/main.ts', outfile: 'target/pulleystack.cjs' })
