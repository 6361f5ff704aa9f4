import type { WeightsClient } from '@pulleystack/backend.interfaces'
import type { ModelServing, RouteTable } from '@pulleystack/config.routes'
import type { Clock } from '@pulleystack/core.clock'
import { nameWeights, type Backend, type BackendFleet } from '@pulleystack/routing.fleet'
import type { DecisionLog } from '@pulleystack/timeline.decisions'
import { loadAdapter } from './AdapterKeeper.js'
import { DemandTracker, type DemandCount } from './DemandTracker.js'
import { LoadBucket } from './LoadBucket.js'
import { computeCopyTargets, listLacking, planLoad, type PlanInput, type PlannedLoad } from './planResidency.js'
import type { NeedAnswer, WeightsNeed } from './ResidencyClient.js'
import { ServerOrders, type OrderRight } from './ServerOrders.js'

const ADAPTER_MS = 220
const UNLOAD_MS = 150
const UNLOAD_WAIT_MS = 60
const MAX_PLANNED_AT_ONCE = 8
const FRESH_MS = 5_000
const MAX_NEED_AGE_MS = 12_000

export interface ResidencyHolderOptions {
  clock: Clock
  fleet: BackendFleet
  weights: WeightsClient
  log: DecisionLog
  readTable: () => RouteTable | undefined
  /** Undefined while this instance may not order. */
  readRight: () => OrderRight | undefined
  /** An adapter came or went; to be told to all instances. */
  onAdapter: (change: { backend: string, model: string, adapter: string, present: boolean }) => void
}

/** Monotone times before which servers are not ordered, since an earlier holder has ordered them. */
export interface HoldOff {
  notBefore: number
  byBackend: ReadonlyMap<string, number>
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
  private readonly orders = new Map<string, ServerOrders>()
  private readonly buckets = new Map<string, LoadBucket>()
  /** Loads under way, by server. */
  private readonly loads = new Map<string, PlannedLoad>()
  /** When each server's models were loaded, by server and model. */
  private readonly loadedAt = new Map<string, Map<string, number>>()
  private holdOff: HoldOff = { notBefore: -Infinity, byBackend: new Map() }
  private readonly needs = new Map<string, OpenNeed>()

  constructor (private readonly opts: ResidencyHolderOptions) {
    opts.fleet.changes.subscribe(({ kind, backend }) => {
      if (kind !== 'removed') return
      this.orders.delete(backend.id)
      this.loads.delete(backend.id)
      this.loadedAt.delete(backend.id)
    })
  }

  /** Begins to order; what an earlier holder loaded is not known, so that loads begin slowly. */
  begin (holdOff: HoldOff): void {
    this.holdOff = holdOff
    for (const bucket of this.buckets.values()) bucket.drain()
    this.orders.clear()
    this.needs.clear()
  }

  /** Servers ordered within a while, with the milliseconds since. */
  listOrdered (withinMs: number): [backend: string, agoMs: number][] {
    const now = this.opts.clock.readTime()
    const ordered = [...this.orders].map(([backend, orders]): [string, number] => [backend, now - orders.newestOrderAt])
    return ordered.filter(([, agoMs]) => agoMs < withinMs)
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
      const input = this.buildInput(name, serving)
      const targets = computeCopyTargets(input)
      for (const model of listLacking(input, targets)) {
        if (this.loads.size >= MAX_PLANNED_AT_ONCE) return
        const load = planLoad(this.buildInput(name, serving), model, targets)
        if (load && this.mayBegin(name, load)) void this.runLoad(serving, load)
      }
    }
  }

  private serveNeed (name: string, open: OpenNeed): void {
    const { need } = open
    const serving = this.findServing(need.service)
    if (!serving) return
    const holding = this.listHolding(need).filter((backend) => !need.isMore || !backend.holds(need.model, need.adapter))
    if (holding.length > 0) {
      open.started = true
      open.readyAt = this.opts.clock.readTime() + ADAPTER_MS
      const done = need.adapter === undefined ? Promise.resolve() : this.bringAdapter(serving, holding, need.model, need.adapter)
      void done.finally(() => this.needs.delete(name))
      return
    }
    this.serveModelNeed(name, open, serving)
  }

  private serveModelNeed (name: string, open: OpenNeed, serving: ModelServing): void {
    const { need } = open
    const now = this.opts.clock.readTime()
    const running = need.isMore ? undefined : [...this.loads.values()].find((load) => load.model === need.model)
    if (running) {
      open.readyAt = Math.min(open.readyAt, now + running.loadMs)
      return
    }
    const input = this.buildInput(need.service, serving)
    const load = planLoad(input, need.model, computeCopyTargets(input))
    // A further copy must not be one too many, and is worth no load from the weight store.
    if (!load || (need.isMore && load.fromStore)) return
    const extraMs = load.victims.length * UNLOAD_MS + (need.adapter === undefined ? 0 : ADAPTER_MS)
    open.readyAt = now + load.loadMs + extraMs + (load.fromStore ? this.findBucket(need.service).waitMs : 0)
    if (!this.mayBegin(need.service, load)) return
    void this.runLoad(serving, load).then(() => {
      // The adapter is served once the directory shows its model.
      if (need.adapter === undefined) this.needs.delete(name)
    })
  }

  private mayBegin (service: string, load: PlannedLoad): boolean {
    return !load.fromStore || this.findBucket(service).take()
  }

  /** Carries one planned load out: room first, as the server itself confirms, then the load. */
  private async runLoad (serving: ModelServing, load: PlannedLoad): Promise<void> {
    const backend = this.opts.fleet.find(load.server)
    if (!backend) return
    this.loads.set(load.server, load)
    const orders = this.findOrders(backend)
    try {
      await orders.enqueue(() => this.carryOut(serving, load, orders))
    } finally {
      this.loads.delete(load.server)
    }
  }

  private async carryOut (serving: ModelServing, load: PlannedLoad, orders: ServerOrders): Promise<void> {
    let state = await orders.readSettled()
    if (!state || state.busy || state.models.some((held) => held.name === load.model)) return
    for (const victim of load.victims) {
      if (!state.models.some((held) => held.name === victim)) continue
      if (!await orders.send('unload', victim, undefined)) return
      state = await orders.waitFor((now) => !now.models.some((held) => held.name === victim), UNLOAD_WAIT_MS)
      if (!state) return
    }
    if (!hasRoom(serving, state.models, load.model)) return
    if (!await orders.send('load', load.model, undefined)) return
    await orders.waitFor((now) => now.models.some((held) => held.name === load.model), load.loadMs)
    this.noteLoaded(load.server, load.model)
  }

  private async bringAdapter (serving: ModelServing, holding: readonly Backend[], model: string, adapter: string): Promise<void> {
    const [backend] = [...holding].sort((a, b) => this.rateForAdapter(a) - this.rateForAdapter(b))
    if (!backend) return
    const orders = this.findOrders(backend)
    const demand = this.findDemand(backend.entry.service)
    await orders.enqueue(() => loadAdapter({
      serving,
      backend,
      orders,
      readIdleMs: (name) => demand.readIdleMs(name),
      onChange: (changedModel, changedAdapter, present) => this.opts.onAdapter({ backend: backend.id, model: changedModel, adapter: changedAdapter, present }),
    }, model, adapter))
  }

  private rateForAdapter (backend: Backend): number {
    const queued = this.findOrders(backend).isBusy ? 1000 : 0
    return queued + backend.readLoad().running
  }

  private listHolding (need: WeightsNeed): Backend[] {
    return this.listUsable(need.service).filter((backend) => backend.holds(need.model) && !this.isLeavingServer(backend, need.model))
  }

  private listUsable (service: string): Backend[] {
    const now = this.opts.clock.readTime()
    const staying = this.opts.fleet.list(service).filter((backend) => !backend.entry.draining && backend.isReachable(now))
    return staying.filter((backend) => !backend.outlier.isEjected(now))
  }

  private isLeavingServer (backend: Backend, model: string): boolean {
    return this.loads.get(backend.id)?.victims.includes(model) ?? false
  }

  private buildInput (service: string, serving: ModelServing): PlanInput {
    const demand = this.findDemand(service)
    const usable = this.listUsable(service)
    return {
      serving,
      servers: usable.map((backend) => {
        const load = this.loads.get(backend.id)
        const held = (backend.entry.models ?? []).map((model) => model.name).filter((name) => !load?.victims.includes(name))
        return {
          id: backend.id,
          models: load && !held.includes(load.model) ? [...held, load.model] : held,
          inMemory: backend.entry.inMemory,
          onDisk: backend.entry.onDisk,
          busy: load !== undefined,
          fresh: this.listFresh(backend.id),
          heldMs: Math.max(0, this.readHoldOff(backend.id) - this.opts.clock.readTime()),
          running: backend.readLoad().running,
        }
      }),
      readDemand: (model) => ({ rate: demand.readRate(model), idleMs: demand.readIdleMs(model) }),
    }
  }

  private listFresh (backend: string): string[] {
    const since = this.opts.clock.readTime() - FRESH_MS
    return [...this.loadedAt.get(backend) ?? []].filter(([, at]) => at > since).map(([model]) => model)
  }

  private noteLoaded (backend: string, model: string): void {
    const models = this.loadedAt.get(backend) ?? new Map<string, number>()
    models.set(model, this.opts.clock.readTime())
    this.loadedAt.set(backend, models)
  }

  private findServing (service: string): ModelServing | undefined {
    return this.opts.readTable()?.findService(service)?.serving
  }

  private findOrders (backend: Backend): ServerOrders {
    const present = this.orders.get(backend.id)
    if (present) return present
    const { clock, weights, log, readRight } = this.opts
    const notBefore = this.readHoldOff(backend.id)
    const created = new ServerOrders({ clock, weights, log, readRight, notBefore, backendId: backend.id, address: backend.entry.address })
    this.orders.set(backend.id, created)
    return created
  }

  private readHoldOff (backend: string): number {
    return this.holdOff.byBackend.get(backend) ?? this.holdOff.notBefore
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

function hasRoom (serving: ModelServing, held: readonly { name: string }[], model: string): boolean {
  const sizes = new Map(serving.models.map((served) => [served.name, served.weightsMb]))
  const used = held.reduce((sum, { name }) => sum + (sizes.get(name) ?? Infinity), 0)
  return used + (sizes.get(model) ?? Infinity) <= serving.weightsMb
}
