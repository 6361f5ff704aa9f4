export { benchmarks } from './benchmarks.js'
