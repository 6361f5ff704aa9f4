import { benches } from './benchmarks.js'

const [name = '', ...args] = process.argv.slice(2)
const load = benches[name]
if (load) {
  const run = await load()
  await run(args)
  process.exit(0)
}
console.error(`no benchmark "${name}"; there are: ${Object.keys(benches).join(', ')}`)
process.exit(2)
