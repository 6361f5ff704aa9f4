import type { WeightsClient, WeightsState } from '@pulleystack/backend.interfaces'
import { isHeterogeneous, type ModelServing } from '@pulleystack/config.routes'
import type { Clock } from '@pulleystack/core.clock'
import type { Backend, BackendFleet } from '@pulleystack/routing.fleet'
import type { DecisionLog } from '@pulleystack/timeline.decisions'
import type { InheritedLoad, WeightsChange } from './channels.js'
import { loadAdapter } from './loadAdapter.js'
import { hasRoom } from './memory.js'
import { OrderArrivals, type OrderArrival } from './OrderArrivals.js'
import type { PlannedLoad, PlannedServer } from './planResidency.js'
import { ResidenceTimes } from './ResidenceTimes.js'
import { SentOrders, ServerOrders, type OrderPermit } from './ServerOrders.js'
import { UncertainOutcomes, settleUncertainOrder } from './settleUncertainOrder.js'
import { UnansweredLoads, type UnansweredReport } from './UnansweredLoads.js'

/** Enough for an unload when no request is running. */
const FIRST_UNLOAD_POLL_MS = 60
/** An unload waits for the running streams. */
const UNLOAD_GRACE_MS = 6_000
/** Time after the expected end of an earlier holder's load; by then the server's entry shows the outcome. */
const INHERITED_LOAD_GRACE_MS = 1_000
/** Backoff after a failed load on a server that is busy or unreachable. */
const FAILED_LOAD_BACKOFF_MS = 600
/** Bounds the backoff of a server at which loads fail again and again, such as a frozen one; it doubles with each failure. */
const MAX_FAILED_LOAD_BACKOFF_MS = 4_800
/** Time after its expected end in which a load is still expected to complete, if the server has accepted its order. */
const OVERDUE_LOAD_MS = 1_500
/** The same for an order without an answer: the time for the server's report to arrive. */
const OVERDUE_UNCERTAIN_MS = 500
/** Ranks servers with pending orders behind idle ones when an adapter is placed. */
const BUSY_PENALTY = 1_000

/** A request to load an adapter. */
export interface AdapterRequest {
  serving: ModelServing
  /** Servers that have the adapter's model. */
  servers: readonly Backend[]
  model: string
  adapter: string
  /** Milliseconds since an adapter was last requested, by model/adapter. */
  readIdleMs: (name: string) => number
}

export interface ServerLoadsOptions {
  clock: Clock
  fleet: BackendFleet
  weights: WeightsClient
  log: DecisionLog
  /** Undefined while this instance may not send orders. */
  readPermit: () => OrderPermit | undefined
  onChange: (change: WeightsChange) => void
  /** Name of this process in the lease. */
  holderName: string
  /** Minimum milliseconds between the orders of two lease holders to one server. */
  minHandoverGapMs: number
  /** Called before an order is sent, and once it has arrived. */
  onArrivalChange?: (server: string) => void
  /** Called for a load order that got no answer. */
  onUnanswered?: (reports: UnansweredReport[]) => void
}

/** A server that gets no orders yet, with the milliseconds until it does. */
export type HeldOffServer = [server: string, ms: number]

interface RunningLoad {
  load: PlannedLoad
  startedAt: number
  /** Milliseconds after its expected end from which the load is not counted on any more; infinite for services that are not heterogeneous. */
  toleranceMs: number
}

/** Carries out loads of models and adapters, one at a time on each server. */
export class ServerLoads {
  private readonly orders = new Map<string, ServerOrders>()
  private readonly running = new Map<string, RunningLoad>()
  private readonly residence: ResidenceTimes
  private readonly unanswered: UnansweredLoads
  /** Loads that failed in a row, by server. */
  private readonly failures = new Map<string, number>()
  /** Monotonic time until which a server gets no loads, by server. */
  private readonly backoffUntil = new Map<string, number>()
  private readonly arrivals: OrderArrivals
  /** Monotonic time at which the lease was acquired. */
  private beganAt = -Infinity
  /** Monotonic time before which no server gets orders. */
  private notBefore = -Infinity

  constructor (private readonly opts: ServerLoadsOptions) {
    this.residence = new ResidenceTimes(opts.clock)
    this.unanswered = new UnansweredLoads(opts.clock)
    this.arrivals = new OrderArrivals(opts.clock, opts.holderName)
    opts.fleet.changes.subscribe(({ kind, backend }) => {
      if (kind !== 'removed') return this.residence.applyEntry(backend)
      this.closeOrders(backend.id)
      this.running.delete(backend.id)
      this.residence.remove(backend.id)
      this.unanswered.forgetSequence(backend.id)
      this.failures.delete(backend.id)
      this.backoffUntil.delete(backend.id)
    })
  }

  /** Number of loads in progress. */
  get size (): number {
    return this.running.size
  }

  /** Resets the order queues after the lease was acquired. No server gets orders before `notBefore`. Loads of an earlier holder count as in progress. */
  begin (notBefore: number, inherited: readonly InheritedLoad[]): void {
    this.beganAt = this.opts.clock.readTime()
    this.notBefore = notBefore
    for (const backend of this.orders.keys()) this.closeOrders(backend)
    for (const { load, leftMs } of inherited) this.addInherited(load, leftMs)
  }

  /** Loads in progress, to be handed over to a successor. */
  listRunning (): InheritedLoad[] {
    return [...this.running].map(([backend, { load }]) => ({ load, leftMs: this.estimateBusyMs(backend) }))
  }

  /** Load orders that servers may still carry out, of this instance and of those that told it of theirs. */
  listUnanswered (): UnansweredReport[] {
    return this.unanswered.buildReports()
  }

  /** Counts load orders of another instance that servers may still carry out. */
  addUnanswered (reports: readonly UnansweredReport[]): void {
    this.unanswered.addReports(reports)
  }

  private addInherited (load: PlannedLoad, leftMs: number): void {
    if (this.running.has(load.server) || !this.opts.fleet.find(load.server)) return
    const inherited = { load: { ...load, clearMs: 0, loadMs: leftMs }, startedAt: this.opts.clock.readTime(), toleranceMs: Infinity }
    this.running.set(load.server, inherited)
    this.opts.clock.setTimer(leftMs + INHERITED_LOAD_GRACE_MS, () => {
      if (this.running.get(load.server) === inherited) this.running.delete(load.server)
    })
  }

  /** Servers that orders of this instance or another holder reached within the last `withinMs` or may still reach. */
  listOrdered (withinMs: number): OrderArrival[] {
    return this.arrivals.list(withinMs)
  }

  /** By when the latest order of this process to a server has arrived. */
  describeArrival (server: string): OrderArrival {
    return this.arrivals.describeOwn(server)
  }

  /** Records what another instance tells of the orders to servers. */
  recordTold (instance: string, arrivals: readonly OrderArrival[]): void {
    const isOwn = ([, , holder]: OrderArrival): boolean => parseHolder(holder) === instance
    this.arrivals.recordOwn(arrivals.filter(isOwn))
    this.arrivals.recordTold(arrivals.filter((arrival) => !isOwn(arrival)))
  }

  /** Servers that get no orders yet, because of orders of earlier holders, and for how many milliseconds. */
  listHeldOff (): HeldOffServer[] {
    return this.opts.fleet.listAll().map((backend): HeldOffServer => [backend.id, this.readHoldOffMs(backend)]).filter(([, ms]) => ms > 0)
  }

  private closeOrders (backend: string): void {
    const orders = this.orders.get(backend)
    if (!orders) return
    orders.close()
    this.orders.delete(backend)
  }

  /** Estimated milliseconds until a load of the model ends on one of the servers; undefined when none is in progress. Without `servers` any counts. */
  findExpectedMs (model: string, servers?: readonly Backend[]): number | undefined {
    const leftMs = [...this.running.values()]
      .filter(({ load }) => load.model === model && (servers === undefined || servers.some(({ id }) => id === load.server)))
      .filter((running) => this.isExpected(running))
      .map((running) => Math.max(0, this.computeLeftMs(running)))
    return leftMs.length === 0 ? undefined : Math.min(...leftMs)
  }

  /** Whether a server has the model and isn't about to unload it. */
  isRetaining (backend: Backend, model: string): boolean {
    return backend.hasWeights(model) && !this.running.get(backend.id)?.load.victims.includes(model)
  }

  /**
   * Describes a server for planning, with the load in progress counted as completed. `keepsFound` also protects recently loaded models
   * that this instance did not order.
   */
  describe (backend: Backend, keepsFound = false): PlannedServer {
    const running = this.running.get(backend.id)
    const load = running && this.isExpected(running) ? running.load : undefined
    const now = this.opts.clock.readTime()
    const resident = (backend.entry.models ?? []).map((model) => model.name).filter((name) => !running?.load.victims.includes(name))
    const unanswered = this.unanswered.list(backend.id).filter(({ adapter }) => adapter === undefined).map(({ model }) => model)
    const uncertain = running && !load ? [running.load.model] : []
    const reserved = [...new Set([...uncertain, ...unanswered])].filter((model) => model !== load?.model && !resident.includes(model))
    return {
      id: backend.id,
      dataHall: backend.entry.dataHall,
      models: load && !resident.includes(load.model) ? [...resident, load.model] : resident,
      inMemory: backend.entry.inMemory,
      onDisk: backend.entry.onDisk,
      ...load ? { loading: load.model } : {},
      ...reserved.length > 0 ? { reserved } : {},
      busyMs: this.estimateBusyMs(backend.id),
      limitPerSecond: backend.reported.limit.perSecond,
      recentlyLoaded: this.residence.listRecent(backend.id, keepsFound),
      holdOffMs: Math.max(backend.reported.backoff.readRemainingMs(now), this.readNotBefore(backend.id) - now),
      running: backend.readLoad().running,
    }
  }

  private estimateBusyMs (backend: string): number {
    const now = this.opts.clock.readTime()
    const backoffMs = (this.backoffUntil.get(backend) ?? -Infinity) - now
    const running = this.running.get(backend)
    if (!running) return Math.max(0, backoffMs)
    // An overdue load may end at any time, but the server is still busy.
    return Math.max(1, this.computeLeftMs(running))
  }

  private computeLeftMs ({ startedAt, load }: RunningLoad): number {
    return startedAt + load.clearMs + load.loadMs - this.opts.clock.readTime()
  }

  /** Whether a load is still likely to complete; another server may get it otherwise. */
  private isExpected (running: RunningLoad): boolean {
    return -this.computeLeftMs(running) <= running.toleranceMs
  }

  /** Carries out a planned load. */
  async run (serving: ModelServing, load: PlannedLoad): Promise<void> {
    const backend = this.opts.fleet.find(load.server)
    if (!backend) return
    const toleranceMs = isHeterogeneous(serving) ? OVERDUE_LOAD_MS : Infinity
    const running: RunningLoad = { load, startedAt: this.opts.clock.readTime(), toleranceMs }
    this.running.set(load.server, running)
    const orders = this.findOrders(backend)
    try {
      const isLoaded = await orders.enqueue(() => this.carryOut(serving, running, orders))
      // The queue is replaced when the server's entry is removed.
      if (this.orders.get(load.server) === orders) this.recordOutcome(serving, load.server, isLoaded)
    } finally {
      // A restarted server may have got another load under the same id.
      if (this.running.get(load.server) === running) this.running.delete(load.server)
    }
  }

  private recordOutcome (serving: ModelServing, server: string, isLoaded: boolean): void {
    const failures = isLoaded ? 0 : (this.failures.get(server) ?? 0) + 1
    this.failures.set(server, failures)
    if (isLoaded) return
    const factor = isHeterogeneous(serving) ? 2 ** (failures - 1) : 1
    const backoffMs = Math.min(MAX_FAILED_LOAD_BACKOFF_MS, FAILED_LOAD_BACKOFF_MS * factor)
    this.backoffUntil.set(server, this.opts.clock.readTime() + backoffMs)
  }

  /** Loads an adapter on the least busy server that has its model and hasn't requested a pause. */
  async ensureAdapter (it: AdapterRequest): Promise<void> {
    const now = this.opts.clock.readTime()
    const available = it.servers.filter((server) => !server.reported.backoff.isActive(now))
    const [backend] = available.sort((a, b) => this.rankForAdapter(a) - this.rankForAdapter(b))
    if (!backend) return
    const orders = this.findOrders(backend)
    const addUnanswered = (state: WeightsState, except: string): WeightsState => this.unanswered.addTo(backend.id, state, except)
    const onChange = (model: string, adapter: string, present: boolean): void => this.opts.onChange({ backend: backend.id, model, adapter, present })
    const { serving, readIdleMs, model, adapter } = it
    await orders.enqueue(() => loadAdapter({ serving, orders, readIdleMs, addUnanswered, onChange }, model, adapter))
  }

  /** Unloads the victims, waits until the server confirms it, then loads the model. Resolves to true when the model is loaded. */
  private async carryOut (serving: ModelServing, running: RunningLoad, orders: ServerOrders): Promise<boolean> {
    const { load } = running
    // The victims' unload is announced before its order is sent, and must not wait then.
    await orders.waitForFormerOrders()
    let state = await orders.readSettled()
    if (!state || state.busy || state.models.some((it) => it.name === load.model)) return false
    for (const victim of load.victims) {
      if (!state.models.some((it) => it.name === victim)) continue
      if (!await this.unload(running, victim, state.sequence, orders)) return false
      state = await orders.waitFor((now) => !now.models.some((it) => it.name === victim), FIRST_UNLOAD_POLL_MS, UNLOAD_GRACE_MS)
      if (!state) return false
    }
    if (!hasRoom(serving, this.unanswered.addTo(load.server, state, load.model), load.model, false)) return false
    // The wait for the victims' streams was an estimate.
    if (load.victims.length > 0) this.restartTime(running)
    const sent = await orders.send('load', load.model, undefined)
    if (!sent) return false
    const isLoaded = sent === SentOrders.TAKEN || !isFinite(running.toleranceMs)
      ? await orders.waitFor((now) => now.models.some((it) => it.name === load.model), load.loadMs) !== undefined
      : await this.settleLoad(running, state.sequence, orders)
    if (isLoaded) this.opts.onChange({ backend: load.server, model: load.model, adapter: undefined, present: true })
    this.residence.record(load.server, load.model)
    return isLoaded
  }

  /** Lets the expected duration of a load begin now. */
  private restartTime (running: RunningLoad): void {
    if (!isFinite(running.toleranceMs)) return
    running.startedAt = this.opts.clock.readTime()
    running.load = { ...running.load, clearMs: 0 }
  }

  /** Waits for a load whose order got no answer. */
  private async settleLoad (running: RunningLoad, sequence: number, orders: ServerOrders): Promise<boolean> {
    const { model, loadMs } = running.load
    running.toleranceMs = OVERDUE_UNCERTAIN_MS
    const isReached = (state: WeightsState): boolean => state.models.some((it) => it.name === model)
    const recordStart = (): void => {
      running.toleranceMs = OVERDUE_LOAD_MS
      this.restartTime(running)
    }
    const outcome = await settleUncertainOrder({ clock: this.opts.clock, orders, sequence, isReached, durationMs: loadMs, onStarted: recordStart })
    return outcome === UncertainOutcomes.REACHED
  }

  /** Announces the change before the order, since the server then rejects new requests for the model. */
  private async unload ({ load, toleranceMs }: RunningLoad, model: string, sequence: number, orders: ServerOrders): Promise<boolean> {
    const change = { backend: load.server, model, adapter: undefined }
    this.opts.onChange({ ...change, present: false })
    const sent = await orders.send('unload', model, undefined)
    let isAccepted = sent !== undefined
    if (sent === SentOrders.UNCERTAIN && isFinite(toleranceMs)) {
      const isReached = (state: WeightsState): boolean => !state.models.some((it) => it.name === model)
      const order = { orders, sequence, isReached, durationMs: UNLOAD_GRACE_MS, onStarted: () => undefined }
      isAccepted = await settleUncertainOrder({ clock: this.opts.clock, ...order }) !== UncertainOutcomes.PENDING
    }
    // The server still serves the model.
    if (!isAccepted) this.opts.onChange({ ...change, present: true })
    return isAccepted
  }

  private rankForAdapter (backend: Backend): number {
    return (this.findOrders(backend).isBusy ? BUSY_PENALTY : 0) + backend.readLoad().running + this.readHoldOffMs(backend)
  }

  private findOrders (backend: Backend): ServerOrders {
    const present = this.orders.get(backend.id)
    if (present) return present
    const { clock, weights, log, readPermit } = this.opts
    const created = new ServerOrders({
      clock,
      weights,
      log,
      readPermit,
      arrivals: this.arrivals,
      readNotBefore: () => this.readNotBefore(backend.id),
      onArrivalChange: () => this.opts.onArrivalChange?.(backend.id),
      backendId: backend.id,
      address: backend.entry.address,
      onUnanswered: (load) => {
        this.unanswered.add(backend.id, load)
        this.opts.onUnanswered?.(this.unanswered.buildReports().filter(({ server }) => server === backend.id))
      },
      onSequence: (sequence) => this.unanswered.recordSequence(backend.id, sequence),
    })
    this.orders.set(backend.id, created)
    return created
  }

  /** Milliseconds until a server gets orders, as far as those of earlier holders are concerned. */
  readHoldOffMs ({ id }: Backend): number {
    return Math.max(0, this.readNotBefore(id) - this.opts.clock.readTime())
  }

  /** Monotonic time before which the server gets no orders, because of those of earlier holders and of earlier leases of this instance. */
  private readNotBefore (server: string): number {
    return Math.max(this.notBefore, this.arrivals.readOthers(server) + this.opts.minHandoverGapMs, this.arrivals.readOwnSentBefore(server, this.beganAt))
  }
}

/** Instance of a process that holds the lease; its name in the lease ends with its incarnation. */
function parseHolder (holder: string): string {
  const at = holder.lastIndexOf('@')
  return at < 0 ? holder : holder.slice(0, at)
}
