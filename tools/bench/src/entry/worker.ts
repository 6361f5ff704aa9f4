import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { parseSettings } from '@pulleystack/config.settings'
import { InstanceRoles } from '@pulleystack/backend.interfaces'
import {
  FakeEngine,
  FakeService,
  MemoryInstanceList,
  MemoryObjectStore,
  serveInstanceList,
  serveObjectStore,
  serveWeightStore,
  WeightGate,
} from '@pulleystack/emulator.stand-ins'
import { SystemClock } from '@pulleystack/core.clock'
import { readExampleText } from '@pulleystack/program.demo'
import { connectPlatform, startInstance } from '@pulleystack/program.instance'
import { CpuProfiler } from '../CpuProfiler.js'
import { handleTasks, readCpuMicros } from '../BenchmarkWorker.js'
import { sendLoad, type LoadOptions } from './sendLoad.js'

const GIB = 1024 ** 3

/** Starts emulated stores, one plain service and one fast engine with ample capacity. */
async function startBackends () {
  const clock = new SystemClock()
  const store = new MemoryObjectStore({ clock })
  const instances = new MemoryInstanceList({ clock })
  const weightGate = new WeightGate({ clock, limits: { loadsPerSecond: 100, loadsAtOnce: 8, bytesPerSecond: 1000 * GIB } })
  const [objectApi, instanceList, weightStore] = await Promise.all([serveObjectStore(store), serveInstanceList(instances), serveWeightStore(weightGate)])
  const service = await FakeService.start({ clock })
  const engine = await FakeEngine.start({ clock, memoryBytes: 40 * GIB, slots: 2_000, tokenMs: 10, batchMsPerRequest: 0, prefillMsPerBlock: 0 })
  const location = { region: 'r', dataHall: 'h', leaving: false, labels: {} }
  instances.setInstance({ id: 'service', role: InstanceRoles.PLAIN, address: service.address, services: ['bench/lookups'], ...location })
  instances.setInstance({ id: 'engine', role: InstanceRoles.ENGINE, address: engine.address, memoryBytes: 40 * GIB, ...location })
  const platform = { objectApi: objectApi.address, instanceList: instanceList.address, weightStore: weightStore.address }
  return { ...platform, service: service.address, engine: engine.address }
}

async function startEntry (platform: { objectApi: string, instanceList: string, weightStore: string }) {
  const settings = parseSettings(readExampleText('settings.jsonc'), {
    PULLEYSTACK_INSTANCE: 'entry',
    PULLEYSTACK_REGION: 'r',
    PULLEYSTACK_DATA_HALL: 'h',
    PULLEYSTACK_LISTEN_CALLERS: '127.0.0.1:0',
    PULLEYSTACK_LISTEN_PEERS: '127.0.0.1:0',
    PULLEYSTACK_OBJECT_API: platform.objectApi,
    PULLEYSTACK_INSTANCE_LIST: platform.instanceList,
    PULLEYSTACK_WEIGHT_STORE: platform.weightStore,
    PULLEYSTACK_LOG: 'warn',
  })._unsafeUnwrap()
  const operators = settings.operators.map((operator) => operator.partner === 'peritos' ? { ...operator, partner: 'bench' } : operator)
  const placement = { ...settings.placement, orderDelayMs: 100, intervalMs: 100 }
  const instance = await startInstance({ ...settings, operators, placement }, connectPlatform(settings))
  return { address: instance.address }
}

/** Starts a minimal reverse proxy on Node's `http`, the baseline for the entry instance. */
async function startPassThrough (backend: { address: string }) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 2_000, scheduling: 'lifo' })
  const [host, port] = backend.address.split(':') as [string, string]
  const server = http.createServer((request, response) => {
    const outgoing = http.request({ host, port: Number(port), method: request.method, path: request.url, headers: request.headers, agent }, (answer) => {
      response.writeHead(answer.statusCode ?? 502, answer.headers)
      answer.pipe(response)
    })
    outgoing.on('error', () => response.destroy())
    request.pipe(outgoing)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}` }
}

const profiler = new CpuProfiler()

handleTasks({
  startProfile: () => profiler.start(),
  stopProfile: () => profiler.stop(),
  startBackends,
  startEntry,
  startPassThrough,
  sendLoad: (opts: LoadOptions) => sendLoad(opts),
  readCpu: () => readCpuMicros(),
  readMemory: () => process.memoryUsage().rss,
})
