import { isHeterogeneous, type ModelServing, type RouteTable } from '@pulleystack/config.routes'
import type { Policy } from '@pulleystack/config.settings'
import { isOfVersion, nameWeights, type Backend } from '@pulleystack/routing.fleet'
import type { PaceEstimate } from '@pulleystack/routing.pace'
import { DecisionKinds } from '@pulleystack/timeline.decisions'
import { CapacityPlanner } from './CapacityPlanner.js'
import { DemandTracker, sumByModel } from './DemandTracker.js'
import type { DemandReport, InheritedLoad } from './channels.js'
import { MIN_DEMAND_KNOWN_MS } from './Evictions.js'
import { LoadBucket } from './LoadBucket.js'
import type { LoadPlanner, LoadPlannerInput } from './LoadPlanner.js'
import { estimateEarliestMs, type PlannedLoad } from './planResidency.js'
import type { WeightsAnswer, WeightsRequest } from './ResidencyClient.js'
import type { OrderArrival } from './OrderArrivals.js'
import { ServerLoads, type HeldOffServer, type ServerLoadsOptions } from './ServerLoads.js'
import { SlotPlanner } from './SlotPlanner.js'
import type { UnansweredReport } from './UnansweredLoads.js'
import type { WaitingStake } from './WaitingStake.js'
import { WaitingStakes } from './WaitingStakes.js'

const EXPECTED_ADAPTER_LOAD_MS = 220
/** Applies to small systems, where the weight store's rate alone would allow fewer concurrent loads than there are servers. */
const MIN_CONCURRENT_LOADS = 8
/** Share of processor time that planning may take; slow plans are made less often. */
const MAX_PLANNING_SHARE = 0.05

export interface ResidencyHolderOptions extends ServerLoadsOptions {
  readTable: () => RouteTable | undefined
  policy: Policy
  /** Pace of a server; by default, no server has been measured. */
  readPace?: (server: string) => PaceEstimate | undefined
}

/** Plans and orders which models and adapters the servers hold, while this instance holds the lease. */
export class ResidencyHolder {
  private readonly demandByService = new Map<string, DemandTracker>()
  private readonly bucketByService = new Map<string, LoadBucket>()
  /** By service, and by service and version for requests that only one software version may serve. */
  private readonly stakesByGroup = new Map<string, WaitingStakes>()
  /** Demand of requests that only one software version may serve, by service and version. */
  private readonly demandByGroup = new Map<string, DemandTracker>()
  private readonly loads: ServerLoads
  private readonly capacityPlanner = new CapacityPlanner()
  private readonly slotPlanner = new SlotPlanner()
  /** Monotonic time at which each adapter that is being loaded is expected to be ready. */
  private readonly adapterReadyAt = new Map<string, number>()

  private nextPlanAt = -Infinity
  /** Monotonic time at which this instance became the holder, to which demand is reported. */
  private beganAt = -Infinity

  constructor (private readonly opts: ResidencyHolderOptions) {
    this.loads = new ServerLoads(opts)
  }

  /** Starts to send orders, to no server before `notBefore`. The load buckets start empty, as the recent loads of an earlier holder are not known. */
  begin (notBefore: number, inherited: readonly InheritedLoad[] = []): void {
    this.beganAt = this.opts.clock.readTime()
    this.loads.begin(notBefore, inherited)
    for (const bucket of this.bucketByService.values()) bucket.drain()
    this.adapterReadyAt.clear()
  }

  /** Servers that orders of this instance or another holder reached within the last `withinMs` or may still reach. */
  listOrdered (withinMs: number): OrderArrival[] {
    return this.loads.listOrdered(withinMs)
  }

  /** Servers that orders may still reach. */
  listInTransit (): OrderArrival[] {
    return this.loads.listOrdered(0)
  }

  /** By when the latest order of this process to a server has arrived. */
  describeArrival (server: string): OrderArrival {
    return this.loads.describeArrival(server)
  }

  /** Records what another instance tells of the orders to servers. */
  recordTold (instance: string, arrivals: readonly OrderArrival[]): void {
    this.loads.recordTold(instance, arrivals)
  }

  /** Servers that get no orders yet, because of orders of earlier holders, and for how many milliseconds. */
  listHeldOff (): HeldOffServer[] {
    return this.loads.listHeldOff()
  }

  /** Loads in progress, to be handed over to a successor. */
  listRunning (): InheritedLoad[] {
    return this.loads.listRunning()
  }

  /** Load orders that servers may still carry out, to be handed over to a successor. */
  listUnanswered (): UnansweredReport[] {
    return this.loads.listUnanswered()
  }

  /** Counts load orders of another holder that servers may still carry out. */
  addUnanswered (reports: readonly UnansweredReport[]): void {
    this.loads.addUnanswered(reports)
  }

  /** Records the demand reported by an instance. */
  recordDemand (instance: string, { counts, spanMs }: DemandReport): void {
    for (const count of sumByModel(counts)) this.findDemand(count.service).add(count.model, instance, count, spanMs)
    for (const count of counts) {
      if (count.adapter !== undefined) this.findDemand(count.service).add(nameWeights(count.model, count.adapter), instance, count, spanMs)
    }
  }

  /** Answers a request for weights with the expected time until they are loaded. */
  handleRequest (request: WeightsRequest): WeightsAnswer {
    if (!this.opts.readPermit()) return { coming: false, reason: 'this instance does not hold the lease', isUndecided: true }
    const serving = this.findServing(request.service)
    if (!serving) return { coming: false, reason: 'the service has no models' }
    if (request.softwareVersion !== undefined && this.listUsable(request.service, request.softwareVersion).length === 0) {
      return { coming: false, reason: 'no server of the software version is usable', earliestMs: Infinity }
    }
    const servers = this.listWithModel(request)
    this.recordStake(request, servers.length > 0)
    if (!request.isMore && servers.length > 0) return { coming: true, expectedMs: this.ensureAdapter(serving, servers, request) }
    this.findWaitingDemand(request).recordWaiting(request.model, servers.length > 0)
    const hasPlanned = this.findExpectedMs(request) === undefined && this.planFor(request, serving)
    const expectedMs = this.findExpectedMs(request)
    if (expectedMs !== undefined) return { coming: true, expectedMs }
    const isUndecided = request.softwareVersion !== undefined && !(hasPlanned && this.knowsDemand)
    return { coming: false, reason: 'other loads have priority', earliestMs: this.estimateEarliestMs(serving, request), ...isUndecided && { isUndecided } }
  }

  /** Whether demand has been collected for long enough to unload what is in little demand. */
  private get knowsDemand (): boolean {
    return this.opts.clock.readTime() - this.beganAt >= MIN_DEMAND_KNOWN_MS
  }

  /** Requests that wait for the first copy of a model, while this instance holds the lease. */
  listWaiting (service: string, model: string): WaitingStake[] {
    return this.findStakes(service).list(model)
  }

  /** Milliseconds until a load that helps the request ends. */
  private findExpectedMs ({ service, model, softwareVersion }: WeightsRequest): number | undefined {
    return this.loads.findExpectedMs(model, softwareVersion === undefined ? undefined : this.listUsable(service, softwareVersion))
  }

  /** Returns whether a plan was made, which may have found other loads to be more urgent. */
  private planFor ({ service, model, softwareVersion }: WeightsRequest, serving: ModelServing): boolean {
    if (softwareVersion === undefined) return this.planService(service, serving)
    return this.planService(service, serving, () => this.buildVersionInput(service, serving, { model, softwareVersion }))
  }

  /** Requests that wait for a slot or an adapter at a server with the model are part of the demand, not of the stakes. */
  private recordStake (request: WeightsRequest, hasModel: boolean): void {
    const stakes = this.findStakes(nameGroup(request))
    if (hasModel || request.isMore) stakes.remove(request)
    else stakes.record(request)
  }

  private estimateEarliestMs (serving: ModelServing, request: WeightsRequest): number {
    const served = serving.models.find((model) => model.name === request.model)
    const servers = this.listUsable(request.service, request.softwareVersion).map((backend) => this.loads.describe(backend))
    return served ? estimateEarliestMs(servers, served) : Infinity
  }

  /** Starts the loads that save the most requests. */
  plan (): void {
    const table = this.opts.readTable()
    if (!table || !this.opts.readPermit()) return
    for (const { name, serving } of table.config.services) {
      if (serving) this.planService(name, serving)
    }
  }

  private planService (service: string, serving: ModelServing, buildInput = () => this.buildPlanInput(service, serving)): boolean {
    const { clock } = this.opts
    const startedAt = clock.readTime()
    if (startedAt < this.nextPlanAt) return false
    this.beginLoads(service, serving, buildInput)
    const now = clock.readTime()
    this.nextPlanAt = now + (now - startedAt) * (1 / MAX_PLANNING_SHARE - 1)
    return true
  }

  private beginLoads (service: string, serving: ModelServing, buildInput: () => LoadPlannerInput): void {
    const bucket = this.findBucket(service)
    const planner = this.choosePlanner(serving)
    while (this.loads.size < computeMaxConcurrentLoads(serving)) {
      const load = planner.planLoad(buildInput(), bucket.waitMs === 0)
      if (!load || !this.mayBegin(service, load)) return
      this.recordPlannedLoad(service, load)
      void this.loads.run(serving, load)
    }
  }

  private choosePlanner (serving: ModelServing): LoadPlanner {
    return this.opts.policy.capacityPlanning && isHeterogeneous(serving) ? this.capacityPlanner : this.slotPlanner
  }

  private recordPlannedLoad (service: string, load: PlannedLoad): void {
    const { model, victims, fromStore } = load
    const { requestsPerSecond, slots } = this.findDemand(service).read(model)
    const copies = this.listUsable(service).filter((backend) => this.loads.isRetaining(backend, model)).length
    this.opts.log.record(DecisionKinds.LOAD_PLANNED, {
      backend: load.server,
      model,
      victims,
      fromStore,
      requestsPerSecond: roundToHundredths(requestsPerSecond),
      places: roundToHundredths(slots),
      copies,
    })
  }

  private mayBegin (service: string, load: PlannedLoad): boolean {
    return !load.fromStore || this.findBucket(service).take()
  }

  /** Loads an adapter on one of the servers that have its model, unless it is being loaded already; returns the expected milliseconds until it is ready. */
  private ensureAdapter (serving: ModelServing, servers: readonly Backend[], request: WeightsRequest): number {
    const { model, adapter } = request
    if (adapter === undefined) return 0
    const now = this.opts.clock.readTime()
    const name = `${nameGroup(request)}|${nameWeights(model, adapter)}`
    const readyAt = this.adapterReadyAt.get(name)
    if (readyAt !== undefined) return Math.max(0, readyAt - now)
    const expectedMs = Math.min(...servers.map((server) => this.loads.readHoldOffMs(server))) + EXPECTED_ADAPTER_LOAD_MS
    this.adapterReadyAt.set(name, now + expectedMs)
    const demand = this.findDemand(request.service)
    const loading = this.loads.ensureAdapter({ serving, servers, model, adapter, readIdleMs: (it) => demand.read(it).idleMs })
    void loading.finally(() => this.adapterReadyAt.delete(name))
    return expectedMs
  }

  private listWithModel (request: WeightsRequest): Backend[] {
    return this.listUsable(request.service, request.softwareVersion).filter((backend) => this.loads.isRetaining(backend, request.model))
  }

  private listUsable (service: string, softwareVersion?: string): Backend[] {
    const now = this.opts.clock.readTime()
    const staying = this.opts.fleet.list(service).filter((backend) => backend.isAvailable(now) && isOfVersion(backend.entry, softwareVersion))
    return staying.filter((backend) => !backend.outlier.isEjected(now))
  }

  private buildPlanInput (service: string, serving: ModelServing): LoadPlannerInput {
    const demand = this.findDemand(service)
    const keepsFound = isHeterogeneous(serving)
    return {
      serving,
      policy: this.opts.policy,
      servers: this.listUsable(service).map((backend) => this.loads.describe(backend, keepsFound)),
      readDemand: (model) => demand.read(model),
      listWaiting: (model) => this.listWaiting(service, model),
      readPace: (server) => this.opts.readPace?.(server),
      demandKnownMs: this.opts.clock.readTime() - this.beganAt,
      firstDemandMs: demand.knownMs,
    }
  }

  /** For a model wanted at one version: its copies elsewhere don't help, but those of its victims do; only the requests that wait count as its demand. */
  private buildVersionInput (service: string, serving: ModelServing, wanted: { model: string, softwareVersion: string }): LoadPlannerInput {
    const input = this.buildPlanInput(service, serving)
    const { model, softwareVersion } = wanted
    const onlyServers = new Set(this.listUsable(service, softwareVersion).map(({ id }) => id))
    const group = { service, softwareVersion }
    return {
      ...input,
      servers: input.servers.map((server) => onlyServers.has(server.id) ? server : { ...server, models: server.models.filter((name) => name !== model) }),
      onlyServers,
      readDemand: (name) => name === model ? this.findWaitingDemand(group).read(name) : input.readDemand(name),
      listWaiting: (name) => name === model ? this.findStakes(nameGroup(group)).list(name) : input.listWaiting(name),
      onlyModel: model,
    }
  }

  private findServing (service: string): ModelServing | undefined {
    return this.opts.readTable()?.findService(service)?.serving
  }

  private findDemand (service: string): DemandTracker {
    const present = this.demandByService.get(service)
    if (present) return present
    const created = this.createDemand(service)
    // Without a configuration it is not known yet whether shifts have to be detected.
    if (this.opts.readTable()) this.demandByService.set(service, created)
    return created
  }

  /** Demand in which a waiting request counts. */
  private findWaitingDemand (group: RequestGroup): DemandTracker {
    if (group.softwareVersion === undefined) return this.findDemand(group.service)
    const name = nameGroup(group)
    const found = this.demandByGroup.get(name) ?? this.createDemand(group.service)
    this.demandByGroup.set(name, found)
    return found
  }

  private createDemand (service: string): DemandTracker {
    const { clock, policy } = this.opts
    return new DemandTracker(clock, policy.demandTrend, policy.demandTrend && isHeterogeneous(this.findServing(service)))
  }

  private findStakes (group: string): WaitingStakes {
    const present = this.stakesByGroup.get(group)
    if (present) return present
    const created = new WaitingStakes(this.opts.clock)
    this.stakesByGroup.set(group, created)
    return created
  }

  private findBucket (service: string): LoadBucket {
    const present = this.bucketByService.get(service)
    if (present) return present
    const created = new LoadBucket(this.opts.clock, () => this.findServing(service)?.loadsPerSecond ?? 0)
    this.bucketByService.set(service, created)
    return created
  }
}

/** Requests that the same servers may serve. */
type RequestGroup = Pick<WeightsRequest, 'service' | 'softwareVersion'>

function nameGroup ({ service, softwareVersion }: RequestGroup): string {
  return softwareVersion === undefined ? service : JSON.stringify([service, softwareVersion])
}

function roundToHundredths (value: number): number {
  return Math.round(value * 100) / 100
}

/** Number of loads in progress when they start at the weight store's full rate; more would only slow each of them down. */
function computeMaxConcurrentLoads (serving: ModelServing): number {
  const loadSeconds = Math.max(0, ...serving.models.map((model) => model.loadSeconds))
  return Math.max(MIN_CONCURRENT_LOADS, Math.floor(serving.loadsPerSecond * loadSeconds))
}
