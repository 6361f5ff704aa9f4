import type { ModelServing, RouteTable } from '@pulleystack/config.routes'
import { nameWeights, type Backend } from '@pulleystack/routing.fleet'
import { DemandTracker, type DemandCount } from './DemandTracker.js'
import { LoadBucket } from './LoadBucket.js'
import { computeCopyTargets, listLacking, planLoad, type CopyTargets, type PlanInput, type PlannedLoad } from './planResidency.js'
import type { NeedAnswer, WeightsNeed } from './ResidencyClient.js'
import { ServerLoads, type HoldOff, type ServerLoadsOptions } from './ServerLoads.js'

const ADAPTER_MS = 220
const UNLOAD_MS = 150
const MIN_PLANNED_AT_ONCE = 8
const MAX_NEED_AGE_MS = 12_000
/** Demand moves slowly against this; many needs at once must not each deal all places anew. */
const TARGETS_MS = 250

export interface ResidencyHolderOptions extends ServerLoadsOptions {
  readTable: () => RouteTable | undefined
}

/** A model or adapter that somebody waits for. */
interface OpenNeed {
  need: WeightsNeed
  askedAt: number
  /** Monotone time at which it will likely be there. */
  readyAt: number
  started: boolean
}

/** Decides and orders what the model servers hold, while this instance holds the lease. */
export class ResidencyHolder {
  private readonly demands = new Map<string, DemandTracker>()
  private readonly buckets = new Map<string, LoadBucket>()
  private readonly loads: ServerLoads
  private readonly needs = new Map<string, OpenNeed>()
  private readonly targets = new Map<string, { computedAt: number, servers: number, targets: CopyTargets }>()

  constructor (private readonly opts: ResidencyHolderOptions) {
    this.loads = new ServerLoads(opts)
  }

  /** Begins to order; what an earlier holder loaded is not known, so that loads begin slowly. */
  begin (holdOff: HoldOff): void {
    this.loads.begin(holdOff)
    for (const bucket of this.buckets.values()) bucket.drain()
    this.needs.clear()
  }

  /** Servers ordered within a while, with the milliseconds since. */
  listOrdered (withinMs: number): [backend: string, agoMs: number][] {
    return this.loads.listOrdered(withinMs)
  }

  /** Takes what an instance was asked for. */
  noteDemand (counts: readonly DemandCount[]): void {
    for (const { service, model, adapter, workMs } of counts) {
      const demand = this.findDemand(service)
      demand.add(model, workMs)
      if (adapter !== undefined) demand.add(nameWeights(model, adapter), workMs)
    }
  }

  /** Takes what somebody waits for; says when it will likely be there. */
  takeNeed (need: WeightsNeed): NeedAnswer {
    if (!this.opts.readRight()) return { coming: false, reason: 'the lease is not held' }
    if (!this.findServing(need.service)) return { coming: false, reason: 'the service has no models' }
    const now = this.opts.clock.readTime()
    const name = `${need.service}|${nameWeights(need.model, need.adapter)}|${need.isMore}`
    const present = this.needs.get(name)
    if (present) return { coming: true, expectedMs: Math.max(0, present.readyAt - now) }
    const open: OpenNeed = { need, askedAt: now, readyAt: Infinity, started: false }
    this.needs.set(name, open)
    this.serveNeed(name, open)
    if (open.readyAt !== Infinity) return { coming: true, expectedMs: open.readyAt - now }
    this.needs.delete(name)
    return { coming: false, reason: 'no server can make room' }
  }

  /** Serves needs that could not be served at once. */
  serveNeeds (): void {
    const now = this.opts.clock.readTime()
    for (const [name, open] of this.needs) {
      if (now - open.askedAt > MAX_NEED_AGE_MS) this.needs.delete(name)
      else if (!open.started) this.serveNeed(name, open)
    }
  }

  /** Adds copies where demand lacks them. */
  plan (): void {
    const table = this.opts.readTable()
    if (!table || !this.opts.readRight()) return
    for (const { name, serving } of table.config.services) {
      if (!serving) continue
      let input = this.buildInput(name, serving)
      const targets = this.findTargets(name, input)
      for (const model of listLacking(input, targets)) {
        if (this.loads.size >= countAtOnce(serving)) break
        const load = planLoad(input, model, targets)
        if (!load || !this.mayBegin(name, load)) continue
        void this.loads.run(serving, load)
        input = this.buildInput(name, serving)
      }
    }
  }

  private serveNeed (name: string, open: OpenNeed): void {
    const { need } = open
    const serving = this.findServing(need.service)
    if (!serving) return
    const holding = this.listHolding(need).filter((backend) => !need.isMore || !backend.hasWeights(need.model, need.adapter))
    if (holding.length > 0) {
      open.started = true
      open.readyAt = this.opts.clock.readTime() + ADAPTER_MS
      const done = need.adapter === undefined ? Promise.resolve() : this.bringAdapter(serving, holding, need, need.adapter)
      void done.finally(() => this.needs.delete(name))
      return
    }
    this.serveModelNeed(name, open, serving)
  }

  private serveModelNeed (name: string, open: OpenNeed, serving: ModelServing): void {
    const { need } = open
    const now = this.opts.clock.readTime()
    const running = need.isMore ? undefined : this.loads.findRunning(need.model)
    if (running) {
      open.readyAt = Math.min(open.readyAt, now + running.loadMs)
      return
    }
    const input = this.buildInput(need.service, serving)
    const load = planLoad(input, need.model, this.findTargets(need.service, input))
    // A further copy must not be one too many, and is worth no load from the weight store.
    if (!load || (need.isMore && load.fromStore)) return
    const extraMs = load.victims.length * UNLOAD_MS + (need.adapter === undefined ? 0 : ADAPTER_MS)
    open.readyAt = now + load.loadMs + extraMs + (load.fromStore ? this.findBucket(need.service).waitMs : 0)
    if (!this.mayBegin(need.service, load)) return
    void this.loads.run(serving, load).then(() => {
      // The adapter is served once the directory shows its model.
      if (need.adapter === undefined) this.needs.delete(name)
    })
  }

  private mayBegin (service: string, load: PlannedLoad): boolean {
    return !load.fromStore || this.findBucket(service).take()
  }

  private bringAdapter (serving: ModelServing, holding: readonly Backend[], need: WeightsNeed, adapter: string): Promise<void> {
    const demand = this.findDemand(need.service)
    return this.loads.bringAdapter({ serving, holding, model: need.model, adapter, readIdleMs: (name) => demand.readIdleMs(name) })
  }

  private listHolding (need: WeightsNeed): Backend[] {
    return this.listUsable(need.service).filter((backend) => this.loads.isKeeping(backend, need.model))
  }

  private listUsable (service: string): Backend[] {
    const now = this.opts.clock.readTime()
    const staying = this.opts.fleet.list(service).filter((backend) => !backend.entry.draining && backend.isReachable(now))
    return staying.filter((backend) => !backend.outlier.isEjected(now))
  }

  private buildInput (service: string, serving: ModelServing): PlanInput {
    const demand = this.findDemand(service)
    return {
      serving,
      servers: this.listUsable(service).map((backend) => this.loads.describe(backend)),
      readDemand: (model) => ({ rate: demand.readRate(model), idleMs: demand.readIdleMs(model) }),
    }
  }

  private findTargets (service: string, input: PlanInput): CopyTargets {
    const now = this.opts.clock.readTime()
    const present = this.targets.get(service)
    if (present && present.servers === input.servers.length && now - present.computedAt < TARGETS_MS) return present.targets
    const targets = computeCopyTargets(input)
    this.targets.set(service, { computedAt: now, servers: input.servers.length, targets })
    return targets
  }

  private findServing (service: string): ModelServing | undefined {
    return this.opts.readTable()?.findService(service)?.serving
  }

  private findDemand (service: string): DemandTracker {
    const present = this.demands.get(service)
    if (present) return present
    const created = new DemandTracker(this.opts.clock)
    this.demands.set(service, created)
    return created
  }

  private findBucket (service: string): LoadBucket {
    const present = this.buckets.get(service)
    if (present) return present
    const created = new LoadBucket(this.opts.clock, () => this.findServing(service)?.loadsPerSecond ?? 0)
    this.buckets.set(service, created)
    return created
  }
}

/** As many loads as are under way when the weight store lets them begin at its full rate; more would only make each slower. */
function countAtOnce (serving: ModelServing): number {
  const loadSeconds = Math.max(0, ...serving.models.map((model) => model.loadSeconds))
  return Math.max(MIN_PLANNED_AT_ONCE, Math.floor(serving.loadsPerSecond * loadSeconds))
}
