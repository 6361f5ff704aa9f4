export { benches } from './benchmarks.js'
