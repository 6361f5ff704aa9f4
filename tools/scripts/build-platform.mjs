// Bundles the entry instance for the platform into target/.
import { writePlatformBundles } from './bundle.mjs'

await writePlatformBundles('target')
