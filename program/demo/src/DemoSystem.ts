import { parseSettings, type Settings } from '@pulleystack/config.settings'
import { PulleystackError } from '@pulleystack/core.errors'
import { InstanceRoles } from '@pulleystack/backend.interfaces'
import { connectPlatform, startInstance, type Instance } from '@pulleystack/program.instance'
import { sendRequest } from './DemoCaller.js'
import { readExample, readExampleText } from './readExample.js'
import { startStandIns, type StandIns } from './startStandIns.js'

const READY_TIMEOUT_MS = 30_000
const POLL_INTERVAL_MS = 50
const REGION = 'central-plateau'

export const DEMO_DATA_HALLS = ['san-jose', 'cartago', 'heredia'] as const

/** Overrides of the example settings, by group of fields. */
export type SettingsOverrides = { [K in keyof Settings]?: Partial<Settings[K]> }

/** Entry instances in this process on embedded stand-ins, for the demo, tests and benchmarks. */
export class DemoSystem {
  readonly instances: Instance[] = []

  private constructor (readonly standIns: StandIns, private readonly overrides: SettingsOverrides) {}

  static async start (opts: { instances: number, engines?: number, change?: SettingsOverrides }): Promise<DemoSystem> {
    const system = new DemoSystem(await startStandIns({ engines: opts.engines }), opts.change ?? {})
    for (let i = 0; i < opts.instances; i++) await system.addInstance(`entry-${i + 1}`, DEMO_DATA_HALLS[i % DEMO_DATA_HALLS.length] as string)
    return system
  }

  get addresses (): string[] {
    return this.instances.map((instance) => instance.address)
  }

  /** Starts an instance and adds it to the platform's instance list. */
  async addInstance (name: string, dataHall: string): Promise<Instance> {
    const settings = this.buildSettings(name, dataHall)
    const instance = await startInstance(settings, connectPlatform(settings))
    this.instances.push(instance)
    const { address, peerAddress } = instance
    this.standIns.list.setInstance({ id: name, role: InstanceRoles.ENTRY, address, peerAddress, region: REGION, dataHall, leaving: false, labels: {} })
    return instance
  }

  /** Applies the example objects of the platform and each partner, each through another instance. */
  async applyExamples (onApplied: (partner: string, count: number) => void = () => undefined): Promise<void> {
    for (const [i, partner] of ['platform', 'peritos', 'shorewatch'].entries()) {
      const address = this.addresses[i % this.addresses.length] as string
      await this.waitUntil(async () => (await sendRequest(address, { method: 'GET', path: '/readyz', key: '' })).status === 200)
      const objects = readExample(`${partner}.jsonc`)
      const answer = await sendRequest(address, { method: 'POST', path: '/admin/apply', key: `demo-operator-${partner}`, body: { objects } })
      if (answer.status !== 200) throw new PulleystackError('INTERNAL', `Applying the example objects of ${partner} failed: ${answer.body}`)
      onApplied(partner, objects.length)
    }
  }

  /** Waits until all models and adapters of the examples are ready and all instances have received the engines' reports. */
  async waitForModels (): Promise<void> {
    const expected = countExampleModels()
    await this.waitUntil(async () => this.countReady() >= expected)
    await this.waitUntil(async () => this.instances.every((instance) => instance.control.readStatus().runners >= this.standIns.engines.length))
    // Engine reports reach the instances with a delay.
    await new Promise((resolve) => setTimeout(resolve, 600))
  }

  /** Counts the items that are ready on at least one engine. */
  countReady (): number {
    const ready = this.standIns.engines.flatMap((engine) => engine.memory.listItems()).filter((item) => item.state === 'ready')
    return new Set(ready.map((item) => item.item)).size
  }

  async waitUntil (check: () => Promise<boolean>): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MS
    while (performance.now() < deadline) {
      if (await check()) return
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
    }
    throw new PulleystackError('INTERNAL', 'Timed out waiting for a condition')
  }

  async close (): Promise<void> {
    await Promise.all(this.instances.map((instance) => instance.kill()))
    await this.standIns.close()
  }

  private buildSettings (instance: string, dataHall: string): Settings {
    const settings = parseSettings(readExampleText('settings.jsonc'), {
      PULLEYSTACK_INSTANCE: instance,
      PULLEYSTACK_DATA_HALL: dataHall,
      PULLEYSTACK_LISTEN_CALLERS: '127.0.0.1:0',
      PULLEYSTACK_LISTEN_PEERS: '127.0.0.1:0',
      PULLEYSTACK_OBJECT_API: this.standIns.objectApi,
      PULLEYSTACK_INSTANCE_LIST: this.standIns.instanceList,
      PULLEYSTACK_WEIGHT_STORE: this.standIns.weightStore,
      PULLEYSTACK_LOG: 'warn',
    })
    if (settings.isErr()) throw settings.error
    const shortIntervals: SettingsOverrides = { placement: { orderDelayMs: 300, intervalMs: 200 } }
    return mergeSettings(mergeSettings(settings.value, shortIntervals), this.overrides)
  }
}

function mergeSettings (settings: Settings, overrides: SettingsOverrides): Settings {
  const groups = Object.entries(overrides).map(([name, fields]) => [name, Object.assign({}, settings[name as keyof Settings], fields)])
  return { ...settings, ...Object.fromEntries(groups) } as Settings
}

function countExampleModels (): number {
  const objects = ['peritos.jsonc', 'shorewatch.jsonc'].flatMap(readExample) as { kind: string }[]
  return objects.filter((object) => object.kind === 'Model' || object.kind === 'Adapter').length
}
