import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub, type FakeNetwork } from '@pulleystack/membership.fake-network'
import { BackendFleet, shareLimits, type Backend } from '@pulleystack/routing.fleet'
import { PooledStrategy, SharesStrategy, SingleOwnerStrategy, type PermitStrategy, type PermitStrategyOptions } from './PermitStrategy.js'

export const Strategies = { POOLED: 'pooled', SINGLE_OWNER: 'single owner', SHARES: 'shares' } as const
export type Strategy = typeof Strategies[keyof typeof Strategies]

const RESTART_DELAY_MS = 500
/** Time until the failure of a link is detected. */
const SUSPICION_DELAY_MS = 2_400
/** A request without a permit after this time is rejected. */
const MAX_WAIT_MS = 1_000
const WINDOW_MS = 4_000
const RATE_TOLERANCE = 1.5
const EXTRA_REQUESTS = 5
/** Requests of an instance don't count for this long after its restart or the end of a network partition. */
export const RECONNECT_GRACE_MS = 3_000
const SERVER = 'server'

/** A request that was sent. */
interface Send {
  at: number
  from: string
}

/** One process run of an instance. */
interface ProcessRun {
  fleet: BackendFleet
  permits: PermitStrategy
  network: FakeNetwork
  controller: AbortController
  queue: WaitingRequest[]
}

interface WaitingRequest {
  deadline: number
  onRejected: () => void
}

export interface PermitsSimulationOptions {
  /** Numbers of serving instances and of instances on standby. */
  serving: number
  standby: number
  seed?: number
  strategy?: Strategy
}

/** Simulates several instances that send to one server with a rate limit and are restarted or partitioned. */
export class PermitsSimulation {
  readonly clock = new ManualClock()
  readonly hub: FakeHub
  readonly serving: string[]
  readonly sends: Send[] = []
  rejected = 0
  private readonly names: string[]
  private readonly runs = new Map<string, ProcessRun>()
  /** When the link of two instances was cut; they consider it open for another `SUSPICION_DELAY_MS`. */
  private readonly cutAt = new Map<string, number>()
  /** Times until which requests of an instance don't count. */
  private readonly exemptUntil = new Map<string, number>()

  constructor (private readonly opts: PermitsSimulationOptions, private perSecond: number | undefined) {
    this.hub = new FakeHub({ clock: this.clock, random: new RandomSource(opts.seed ?? 5) })
    this.hub.maxDelayMs = 3
    this.serving = Array.from({ length: opts.serving }, (_, at) => `e${at}`)
    this.names = [...this.serving, ...Array.from({ length: opts.standby }, (_, at) => `s${at}`)]
    for (const name of this.names) this.startInstance(name)
    for (const name of this.serving) this.observeLimit(name)
  }

  /** Changes the server's limit and advertises it to all serving instances. */
  setLimit (perSecond: number | undefined): void {
    this.perSecond = perSecond
    for (const name of this.serving) this.observeLimit(name)
  }

  /** Sends a request for the server to an instance. */
  request (at: number): void {
    const name = this.serving[at % this.serving.length] as string
    const run = this.runs.get(name)
    if (!run) return
    if (this.trySend(name, run)) return
    run.queue.push({ deadline: this.clock.readTime() + MAX_WAIT_MS, onRejected: () => this.rejected++ })
    run.permits.request(this.findBackend(run), run.queue.length)
  }

  /** Kills an instance and restarts it after `RESTART_DELAY_MS`. */
  restart (name: string): void {
    const run = this.runs.get(name)
    if (!run) return
    this.stopInstance(name, run)
    this.exempt(name, RESTART_DELAY_MS)
    this.clock.setTimer(RESTART_DELAY_MS, () => {
      this.startInstance(name)
      this.observeLimit(name)
    })
  }

  /** Kills an instance without a restart. */
  remove (name: string): void {
    const run = this.runs.get(name)
    if (run) this.stopInstance(name, run)
  }

  /** Silently holds back messages between two instances until `heal` is called. */
  hold (one: string, other: string): void {
    if (one === other) return
    this.hub.hold(one, other)
    this.hub.hold(other, one)
    this.cutAt.set([one, other].sort().join(), this.clock.readTime())
    for (const name of [one, other]) this.exemptUntil.set(name, Infinity)
  }

  heal (): void {
    this.cutAt.clear()
    this.hub.releaseAll()
    for (const [name, until] of this.exemptUntil) if (until === Infinity) this.exempt(name, 0)
  }

  /** Maximum number of counted requests in any window beyond the allowed number. */
  measureExcess (limit: number, after = 0): number {
    const sends = this.sends.filter(({ at }) => at >= after).map(({ at }) => at)
    const max = Math.max(0, ...sends.map((from) => sends.filter((at) => at >= from && at < from + WINDOW_MS).length))
    return max - computeAllowed(limit)
  }

  private trySend (name: string, run: ProcessRun): boolean {
    const now = this.clock.readTime()
    const backend = this.findBackend(run)
    if (backend.reported.limit.perSecond !== undefined && !run.permits.take(backend)) return false
    if (now >= (this.exemptUntil.get(name) ?? -Infinity)) this.sends.push({ at: now, from: name })
    return true
  }

  private sendWaiting (name: string): void {
    const run = this.runs.get(name)
    if (!run) return
    const now = this.clock.readTime()
    run.queue.filter(({ deadline }) => deadline <= now).forEach(({ onRejected }) => onRejected())
    run.queue = run.queue.filter(({ deadline }) => deadline > now)
    while (run.queue.length > 0 && this.trySend(name, run)) run.queue.shift()
    if (run.queue.length > 0) run.permits.request(this.findBackend(run), run.queue.length)
  }

  private exempt (name: string, ms: number): void {
    this.exemptUntil.set(name, this.clock.readTime() + ms + RECONNECT_GRACE_MS)
  }

  private stopInstance (name: string, run: ProcessRun): void {
    run.controller.abort()
    this.runs.delete(name)
    this.hub.removeNode(name)
  }

  private startInstance (instance: string): void {
    const network = this.hub.createNode({ instance, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    const controller = new AbortController()
    const { clock } = this
    const fleet = new BackendFleet()
    const isServing = this.serving.includes(instance)
    // An instance on standby doesn't follow the store and knows no servers.
    if (isServing) fleet.put({ id: SERVER, service: 's', address: 'a:1', dataHall: 'z', slots: 99, draining: false, models: undefined, inMemory: [], onDisk: [] })
    const membership = {
      instance,
      countInstances: () => this.names.length,
      isServing: () => isServing,
      listServing: () => network.listLinked().filter((other) => this.serving.includes(other) && !this.isSuspected(instance, other)),
    }
    const random = new RandomSource(this.names.indexOf(instance))
    const isRestarted = this.clock.readTime() > 0
    const permits = this.createStrategy({ clock, random, network, fleet, membership, isRestarted, onChange: () => this.sendWaiting(instance) })
    permits.start(controller.signal)
    const listStandby = (): string[] => isServing ? network.listLinked().filter((other) => !this.serving.includes(other)) : []
    shareLimits({ clock, network, fleet, listStandby, onPeerLimit: () => undefined }, controller.signal)
    this.runs.set(instance, { fleet, permits, network, controller, queue: [] })
  }

  private createStrategy (opts: PermitStrategyOptions): PermitStrategy {
    const { strategy = Strategies.POOLED } = this.opts
    if (strategy === Strategies.POOLED) return new PooledStrategy(opts)
    if (strategy === Strategies.SINGLE_OWNER) return new SingleOwnerStrategy(opts)
    return new SharesStrategy(opts, computeAllowed(this.perSecond ?? 0), WINDOW_MS)
  }

  /** A serving instance receives a response of the server with its limit. */
  private observeLimit (name: string): void {
    const run = this.runs.get(name)
    const backend = run?.fleet.find(SERVER)
    if (!run || !backend) return
    const now = this.clock.readTime()
    run.fleet.recordLimit(backend, { perSecond: this.perSecond, reportedAfter: now, reportedBefore: now })
  }

  private findBackend ({ fleet }: ProcessRun): Backend {
    return fleet.find(SERVER) as Backend
  }

  private isSuspected (one: string, other: string): boolean {
    const since = this.cutAt.get([one, other].sort().join())
    return since !== undefined && this.clock.readTime() - since > SUSPICION_DELAY_MS
  }
}

/** Allowed number of requests in a window. */
function computeAllowed (limit: number): number {
  return Math.floor(limit * WINDOW_MS / 1_000 * RATE_TOLERANCE + EXTRA_REQUESTS)
}
