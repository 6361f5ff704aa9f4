import type { WeightsClient } from '@pulleystack/backend.interfaces'
import type { ModelServing } from '@pulleystack/config.routes'
import type { Clock } from '@pulleystack/core.clock'
import type { Backend, BackendFleet } from '@pulleystack/routing.fleet'
import type { DecisionLog } from '@pulleystack/timeline.decisions'
import { loadAdapter } from './loadAdapter.js'
import type { InheritedLoad, WeightsChange } from './channels.js'
import { hasRoom } from './memory.js'
import type { PlannedLoad, PlannedServer } from './planResidency.js'
import { ServerOrders, type OrderRight } from './ServerOrders.js'

/** Milliseconds after an unload order before the first look whether it is done; when nothing runs, it is. */
const UNLOAD_WAIT_MS = 60
/** An unload waits for the streams that run, which take this long at most on a server of the usual pace. */
const UNLOAD_EXTRA_MS = 6_000
/** A load of an earlier holder is taken for done or lost so long after it should have ended; the server's entry shows it by then. */
const INHERITED_EXTRA_MS = 1_000
/** A server at which a load came to nothing (it does other things, or can't be reached) is left alone for this long. */
const FAILED_PAUSE_MS = 600
/** A model that came is not to go again for this long, in which those who waited for it are served. */
const FRESH_MS = 5_000
/** Order in which servers are asked for adapters: those with nothing to do come first. */
const BUSY_PENALTY = 1_000

/** Monotone times before which servers are not ordered, since an earlier holder has ordered them. */
export interface HoldOff {
  notBefore: number
  byBackend: ReadonlyMap<string, number>
}

/** An adapter that somebody waits for. */
export interface WantedAdapter {
  serving: ModelServing
  /** Servers that have its model. */
  holding: readonly Backend[]
  model: string
  adapter: string
  /** Milliseconds since an adapter was last asked for, by model/adapter. */
  readIdleMs: (name: string) => number
}

export interface ServerLoadsOptions {
  clock: Clock
  fleet: BackendFleet
  weights: WeightsClient
  log: DecisionLog
  /** Undefined while this instance may not order. */
  readRight: () => OrderRight | undefined
  onChange: (change: WeightsChange) => void
}

/** A load that is under way. */
interface RunningLoad {
  load: PlannedLoad
  startedAt: number
}

/** Carries out loads of models and adapters, one after the other at each server. */
export class ServerLoads {
  private readonly orders = new Map<string, ServerOrders>()
  private readonly running = new Map<string, RunningLoad>()
  /** When each server's models were loaded, by server and model. */
  private readonly loadedAt = new Map<string, Map<string, number>>()
  /** Monotone time until which servers are left alone. */
  private readonly pausedUntil = new Map<string, number>()
  private holdOff: HoldOff = { notBefore: -Infinity, byBackend: new Map() }

  constructor (private readonly opts: ServerLoadsOptions) {
    opts.fleet.changes.subscribe(({ kind, backend }) => {
      if (kind !== 'removed') return
      this.orders.delete(backend.id)
      this.running.delete(backend.id)
      this.loadedAt.delete(backend.id)
      this.pausedUntil.delete(backend.id)
    })
  }

  /** Loads under way. */
  get size (): number {
    return this.running.size
  }

  /** Forgets what was known of sequences; servers are left alone as an earlier holder's orders ask, and its loads count as under way. */
  begin (holdOff: HoldOff, inherited: readonly InheritedLoad[]): void {
    this.holdOff = holdOff
    this.orders.clear()
    for (const { load, leftMs } of inherited) this.addInherited(load, leftMs)
  }

  /** Loads under way, for a successor. */
  listRunning (): InheritedLoad[] {
    return [...this.running].map(([backend, { load }]) => ({ load, leftMs: this.estimateBusyMs(backend) }))
  }

  private addInherited (load: PlannedLoad, leftMs: number): void {
    if (this.running.has(load.server) || !this.opts.fleet.find(load.server)) return
    const inherited = { load: { ...load, clearMs: 0, loadMs: leftMs }, startedAt: this.opts.clock.readTime() }
    this.running.set(load.server, inherited)
    this.opts.clock.setTimer(leftMs + INHERITED_EXTRA_MS, () => {
      if (this.running.get(load.server) === inherited) this.running.delete(load.server)
    })
  }

  /** Servers ordered within a while, with the milliseconds since. */
  listOrdered (withinMs: number): [backend: string, agoMs: number][] {
    const now = this.opts.clock.readTime()
    const ordered = [...this.orders].map(([backend, orders]): [string, number] => [backend, now - orders.newestOrderAt])
    return ordered.filter(([, agoMs]) => agoMs < withinMs)
  }

  /** Milliseconds until a load of the model that is under way will likely end; undefined when there is none. */
  findExpectedMs (model: string): number | undefined {
    const now = this.opts.clock.readTime()
    const left = [...this.running.values()]
      .filter(({ load }) => load.model === model)
      .map(({ load, startedAt }) => Math.max(0, startedAt + load.clearMs + load.loadMs - now))
    return left.length === 0 ? undefined : Math.min(...left)
  }

  /** Whether a server has the model and keeps it. */
  isKeeping (backend: Backend, model: string): boolean {
    return backend.hasWeights(model) && !this.running.get(backend.id)?.load.victims.includes(model)
  }

  /** A server as the plan sees it, with the load under way counted as done. */
  describe (backend: Backend): PlannedServer {
    const load = this.running.get(backend.id)?.load
    const now = this.opts.clock.readTime()
    const held = (backend.entry.models ?? []).map((model) => model.name).filter((name) => !load?.victims.includes(name))
    const loadedAt = [...this.loadedAt.get(backend.id) ?? []]
    return {
      id: backend.id,
      models: load && !held.includes(load.model) ? [...held, load.model] : held,
      inMemory: backend.entry.inMemory,
      onDisk: backend.entry.onDisk,
      ...load ? { loading: load.model } : {},
      busyMs: this.estimateBusyMs(backend.id),
      limitPerSecond: backend.stated.limit.perSecond,
      fresh: loadedAt.filter(([, at]) => at > now - FRESH_MS).map(([model]) => model),
      heldMs: Math.max(backend.stated.backoff.readLeftMs(now), this.readHoldOff(backend.id) - now),
      running: backend.readLoad().running,
    }
  }

  private estimateBusyMs (backend: string): number {
    const now = this.opts.clock.readTime()
    const pausedMs = (this.pausedUntil.get(backend) ?? -Infinity) - now
    const running = this.running.get(backend)
    if (!running) return Math.max(0, pausedMs)
    // One that takes longer than expected may end at any time.
    return Math.max(1, running.startedAt + running.load.clearMs + running.load.loadMs - now)
  }

  /** Carries one planned load out. */
  async run (serving: ModelServing, load: PlannedLoad): Promise<void> {
    const backend = this.opts.fleet.find(load.server)
    if (!backend) return
    this.running.set(load.server, { load, startedAt: this.opts.clock.readTime() })
    const orders = this.findOrders(backend)
    try {
      const isLoaded = await orders.enqueue(() => this.carryOut(serving, load, orders))
      if (!isLoaded) this.pausedUntil.set(load.server, this.opts.clock.readTime() + FAILED_PAUSE_MS)
    } finally {
      this.running.delete(load.server)
    }
  }

  /** Brings an adapter to one of the servers that have its model, the least busy of them. */
  async bringAdapter (it: WantedAdapter): Promise<void> {
    const now = this.opts.clock.readTime()
    const rested = it.holding.filter((holding) => !holding.stated.backoff.isActive(now))
    const [backend] = rested.sort((a, b) => this.rateForAdapter(a) - this.rateForAdapter(b))
    if (!backend) return
    const orders = this.findOrders(backend)
    const onChange = (model: string, adapter: string, present: boolean): void => this.opts.onChange({ backend: backend.id, model, adapter, present })
    const { serving, readIdleMs, model, adapter } = it
    await orders.enqueue(() => loadAdapter({ serving, orders, readIdleMs, onChange }, model, adapter))
  }

  /** Room first, as the server itself confirms, then the load. */
  private async carryOut (serving: ModelServing, load: PlannedLoad, orders: ServerOrders): Promise<boolean> {
    let state = await orders.readSettled()
    if (!state || state.busy || state.models.some((held) => held.name === load.model)) return false
    for (const victim of load.victims) {
      if (!state.models.some((held) => held.name === victim)) continue
      if (!await this.unload(load.server, victim, orders)) return false
      state = await orders.waitFor((now) => !now.models.some((held) => held.name === victim), UNLOAD_WAIT_MS, UNLOAD_EXTRA_MS)
      if (!state) return false
    }
    if (!hasRoom(serving, state, load.model, false)) return false
    if (!await orders.send('load', load.model, undefined)) return false
    const loaded = await orders.waitFor((now) => now.models.some((held) => held.name === load.model), load.loadMs)
    if (loaded) this.opts.onChange({ backend: load.server, model: load.model, adapter: undefined, present: true })
    this.noteLoaded(load.server, load.model)
    return loaded !== undefined
  }

  /** The server refuses new requests for the model until those that run have ended, so that everybody is told first. */
  private async unload (backend: string, model: string, orders: ServerOrders): Promise<boolean> {
    const change = { backend, model, adapter: undefined }
    this.opts.onChange({ ...change, present: false })
    const isSent = await orders.send('unload', model, undefined) !== undefined
    if (!isSent) this.opts.onChange({ ...change, present: true })
    return isSent
  }

  private rateForAdapter (backend: Backend): number {
    return (this.findOrders(backend).isBusy ? BUSY_PENALTY : 0) + backend.readLoad().running
  }

  private noteLoaded (backend: string, model: string): void {
    const models = this.loadedAt.get(backend) ?? new Map<string, number>()
    models.set(model, this.opts.clock.readTime())
    this.loadedAt.set(backend, models)
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
}
