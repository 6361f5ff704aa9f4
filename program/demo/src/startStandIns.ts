import { SystemClock, type Clock } from '@pulleystack/core.clock'
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
  type LoopbackServer,
} from '@pulleystack/emulator.stand-ins'

/** Emulated platform and backend servers on loopback. */
export interface StandIns {
  clock: Clock
  store: MemoryObjectStore
  list: MemoryInstanceList
  engines: FakeEngine[]
  plainServices: Map<string, FakeService>
  gate: WeightGate
  objectApi: string
  instanceList: string
  weightStore: string
  close: () => Promise<void>
}

const GIB = 1024 ** 3
const ENGINE_MEMORY_BYTES = 40 * GIB
const REGION = 'central-plateau'
const DATA_HALLS = ['san-jose', 'cartago', 'heredia'] as const
const PLAIN_SERVICES = { 'window-1': 'peritos/window', 'gauge-1': 'shorewatch/gauges' } as const

type PlatformServers = [LoopbackServer, LoopbackServer, LoopbackServer]

/** Starts the platform, the engines (four by default) and two plain services in three data halls. */
export async function startStandIns (opts: { engines?: number, bytesPerSecond?: number } = {}): Promise<StandIns> {
  const clock = new SystemClock()
  const store = new MemoryObjectStore({ clock })
  const list = new MemoryInstanceList({ clock })
  const gate = new WeightGate({ clock, limits: { loadsPerSecond: 20, loadsAtOnce: 8, bytesPerSecond: opts.bytesPerSecond ?? 40 * GIB } })
  const servers = await Promise.all([serveObjectStore(store), serveInstanceList(list), serveWeightStore(gate)]) as PlatformServers
  const engines = await startEngines(clock, list, gate, opts.engines ?? 4)
  const services = await startPlainServices(clock, list)
  return {
    clock,
    store,
    list,
    engines,
    plainServices: services,
    gate,
    objectApi: servers[0].address,
    instanceList: servers[1].address,
    weightStore: servers[2].address,
    close: async () => {
      await Promise.all([
        ...servers.map((server) => server.close()),
        ...engines.map((engine) => engine.kill()),
        ...[...services.values()].map((it) => it.kill()),
      ])
    },
  }
}

async function startEngines (clock: Clock, list: MemoryInstanceList, gate: WeightGate, count: number): Promise<FakeEngine[]> {
  const engines: FakeEngine[] = []
  for (let i = 0; i < count; i++) {
    const engine = await FakeEngine.start({ clock, memoryBytes: ENGINE_MEMORY_BYTES, gate, checksFences: i % 2 === 0 })
    list.setInstance({
      id: `engine-${i + 1}`,
      role: InstanceRoles.ENGINE,
      address: engine.address,
      region: REGION,
      dataHall: DATA_HALLS[i % DATA_HALLS.length] as string,
      leaving: false,
      labels: { accelerator: 'a' },
      memoryBytes: ENGINE_MEMORY_BYTES,
      checksFences: i % 2 === 0,
    })
    engines.push(engine)
  }
  return engines
}

async function startPlainServices (clock: Clock, list: MemoryInstanceList): Promise<Map<string, FakeService>> {
  const services = new Map<string, FakeService>()
  for (const [id, service] of Object.entries(PLAIN_SERVICES)) {
    const server = await FakeService.start({ clock, delayMs: 1 })
    list.setInstance({
      id,
      role: InstanceRoles.PLAIN,
      address: server.address,
      region: REGION,
      dataHall: DATA_HALLS[services.size] as string,
      leaving: false,
      labels: {},
      services: [service],
    })
    services.set(id, server)
  }
  return services
}
