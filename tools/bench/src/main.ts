import { benchmarks } from './benchmarks.js'

const [name = '', ...args] = process.argv.slice(2)
const loadBenchmark = benchmarks[name]
if (loadBenchmark) {
  const runBenchmark = await loadBenchmark()
  await runBenchmark(args)
  process.exit(0)
}
console.error(`unknown benchmark "${name}"; available: ${Object.keys(benchmarks).join(', ')}`)
process.exit(2)
