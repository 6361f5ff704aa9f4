import type { ModelServing, RouteTable } from '@pulleystack/config.routes'
import type { Policy } from '@pulleystack/config.settings'
import { nameWeights, type Backend } from '@pulleystack/routing.fleet'
import { DecisionKinds } from '@pulleystack/timeline.decisions'
import { DemandTracker, sumByModel } from './DemandTracker.js'
import type { DemandReport, InheritedLoad } from './channels.js'
import { LoadBucket } from './LoadBucket.js'
import { estimateEarliestMs, planLoad, type PlanInput, type PlannedLoad } from './planResidency.js'
import type { NeedAnswer, WeightsNeed } from './ResidencyClient.js'
import { ServerLoads, type HoldOff, type ServerLoadsOptions } from './ServerLoads.js'

/** What an adapter takes that a server had lately; milliseconds, from the platform's days. */
const ADAPTER_MS = 220
/** Loads under way at a time in a small system, where the weight store's rate alone would allow fewer than there are servers. */
const MIN_PLANNED_AT_ONCE = 8
/** Share of the processor's time that plans may take; in a system of hundreds of servers they come less often for it. */
const PLAN_SHARE = 0.05

export interface ResidencyHolderOptions extends ServerLoadsOptions {
  readTable: () => RouteTable | undefined
  policy: Policy
}

/** Decides and orders what the model servers hold, while this instance holds the lease. */
export class ResidencyHolder {
  private readonly demands = new Map<string, DemandTracker>()
  private readonly buckets = new Map<string, LoadBucket>()
  private readonly loads: ServerLoads
  /** Adapters on their way, and the monotone time at which each will likely be there. */
  private readonly adapters = new Map<string, number>()

  private planAgainAt = -Infinity

  constructor (private readonly opts: ResidencyHolderOptions) {
    this.loads = new ServerLoads(opts)
  }

  /** Begins to order; what an earlier holder loaded is not known, so that loads begin slowly. */
  begin (holdOff: HoldOff, inherited: readonly InheritedLoad[] = []): void {
    this.loads.begin(holdOff, inherited)
    for (const bucket of this.buckets.values()) bucket.drain()
    this.adapters.clear()
  }

  /** Servers ordered within a while, with the milliseconds since. */
  listOrdered (withinMs: number): [backend: string, agoMs: number][] {
    return this.loads.listOrdered(withinMs)
  }

  /** Loads under way, for a successor. */
  listRunning (): InheritedLoad[] {
    return this.loads.listRunning()
  }

  /** Takes what an instance was asked for. */
  noteDemand (from: string, { counts, spanMs }: DemandReport): void {
    for (const count of sumByModel(counts)) this.findDemand(count.service).add(count.model, from, count, spanMs)
    for (const count of counts) {
      if (count.adapter !== undefined) this.findDemand(count.service).add(nameWeights(count.model, count.adapter), from, count, spanMs)
    }
  }

  /** Takes what somebody waits for; says when it will likely be there. */
  takeNeed (need: WeightsNeed): NeedAnswer {
    if (!this.opts.readRight()) return { coming: false, reason: 'the lease is not held' }
    const serving = this.findServing(need.service)
    if (!serving) return { coming: false, reason: 'the service has no models' }
    const holding = this.listHolding(need)
    if (!need.isMore && holding.length > 0) return { coming: true, expectedMs: this.bringAdapter(serving, holding, need) }
    this.findDemand(need.service).noteWaiting(need.model)
    if (this.loads.findExpectedMs(need.model) === undefined) this.planService(need.service, serving)
    const expectedMs = this.loads.findExpectedMs(need.model)
    if (expectedMs !== undefined) return { coming: true, expectedMs }
    return { coming: false, reason: 'other loads gain more now', earliestMs: this.estimateEarliestMs(serving, need) }
  }

  private estimateEarliestMs (serving: ModelServing, need: WeightsNeed): number {
    const served = serving.models.find((model) => model.name === need.model)
    const servers = this.listUsable(need.service).map((backend) => this.loads.describe(backend))
    return served ? estimateEarliestMs(servers, served) : Infinity
  }

  /** Begins the loads that save the most requests. */
  plan (): void {
    const table = this.opts.readTable()
    if (!table || !this.opts.readRight()) return
    for (const { name, serving } of table.config.services) {
      if (serving) this.planService(name, serving)
    }
  }

  private planService (service: string, serving: ModelServing): void {
    const { clock } = this.opts
    const startedAt = clock.readTime()
    if (startedAt < this.planAgainAt) return
    this.beginLoads(service, serving)
    const now = clock.readTime()
    this.planAgainAt = now + (now - startedAt) * (1 / PLAN_SHARE - 1)
  }

  private beginLoads (service: string, serving: ModelServing): void {
    const bucket = this.findBucket(service)
    while (this.loads.size < countAtOnce(serving)) {
      const load = planLoad(this.buildInput(service, serving), bucket.waitMs === 0)
      if (!load || !this.mayBegin(service, load)) return
      this.noteLoad(service, load)
      void this.loads.run(serving, load)
    }
  }

  private noteLoad (service: string, load: PlannedLoad): void {
    const { model, victims, fromStore } = load
    const { requestsPerSecond, places } = this.findDemand(service).read(model)
    const copies = this.listUsable(service).filter((backend) => this.loads.isKeeping(backend, model)).length
    this.opts.log.record(DecisionKinds.LOAD_PLANNED, {
      backend: load.server,
      model,
      victims,
      fromStore,
      requestsPerSecond: roundFigure(requestsPerSecond),
      places: roundFigure(places),
      copies,
    })
  }

  private mayBegin (service: string, load: PlannedLoad): boolean {
    return !load.fromStore || this.findBucket(service).take()
  }

  /** Brings an adapter to one of the servers that have its model; gives the milliseconds until it will likely be there. */
  private bringAdapter (serving: ModelServing, holding: readonly Backend[], need: WeightsNeed): number {
    const { model, adapter } = need
    if (adapter === undefined) return 0
    const now = this.opts.clock.readTime()
    const name = `${need.service}|${nameWeights(model, adapter)}`
    const readyAt = this.adapters.get(name)
    if (readyAt !== undefined) return Math.max(0, readyAt - now)
    this.adapters.set(name, now + ADAPTER_MS)
    const demand = this.findDemand(need.service)
    const done = this.loads.bringAdapter({ serving, holding, model, adapter, readIdleMs: (it) => demand.read(it).idleMs })
    void done.finally(() => this.adapters.delete(name))
    return ADAPTER_MS
  }

  private listHolding (need: WeightsNeed): Backend[] {
    return this.listUsable(need.service).filter((backend) => this.loads.isKeeping(backend, need.model))
  }

  private listUsable (service: string): Backend[] {
    const now = this.opts.clock.readTime()
    const staying = this.opts.fleet.list(service).filter((backend) => backend.isStaying(now))
    return staying.filter((backend) => !backend.outlier.isEjected(now))
  }

  private buildInput (service: string, serving: ModelServing): PlanInput {
    const demand = this.findDemand(service)
    return {
      serving,
      policy: this.opts.policy,
      servers: this.listUsable(service).map((backend) => this.loads.describe(backend)),
      readDemand: (model) => demand.read(model),
    }
  }

  private findServing (service: string): ModelServing | undefined {
    return this.opts.readTable()?.findService(service)?.serving
  }

  private findDemand (service: string): DemandTracker {
    const present = this.demands.get(service)
    if (present) return present
    const created = new DemandTracker(this.opts.clock, this.opts.policy.demandTrend)
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

/** For people who read the log. */
function roundFigure (value: number): number {
  return Math.round(value * 100) / 100
}

/** As many loads as are under way when the weight store lets them begin at its full rate; more would only make each slower. */
function countAtOnce (serving: ModelServing): number {
  const loadSeconds = Math.max(0, ...serving.models.map((model) => model.loadSeconds))
  return Math.max(MIN_PLANNED_AT_ONCE, Math.floor(serving.loadsPerSecond * loadSeconds))
}
