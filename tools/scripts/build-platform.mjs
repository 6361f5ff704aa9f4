// Bundles the entry instance for the platform into target/pulleystack.cjs.
import { writeBundle } from './bundle.mjs'

await writeBundle({ entryPoint: 'platform/adapter/src/main.ts', outfile: 'target/pulleystack.cjs' })
