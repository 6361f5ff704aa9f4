import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub, type FakeNetwork } from '@pulleystack/membership.fake-network'
import { BackendFleet, shareLimits, type Backend } from '@pulleystack/routing.fleet'
import { OwnedWay, PartsWay, PooledWay, type PermitWay, type PermitWayOptions } from './PermitWay.js'

export const Ways = { POOLED: 'pooled', OWNED: 'owned', PARTS: 'parts' } as const
export type Way = typeof Ways[keyof typeof Ways]

/** An instance that was killed is back after so long. */
const RESTART_MS = 500
/** A link that carries nothing is found to be silent after so long. */
const SUSPECT_MS = 2_400
/** A request that got no right within this time is refused. */
const PATIENCE_MS = 1_000
const WINDOW_MS = 4_000
const OVER = 1.5
const EXTRA = 5
/** A restart, or a cut that has healed, excuses an instance for so long. */
export const CONTACT_MS = 3_000
const SERVER = 'server'

/** One request that was sent. */
interface Send {
  at: number
  from: string
}

/** One life of one instance. */
interface Life {
  fleet: BackendFleet
  permits: PermitWay
  network: FakeNetwork
  ended: AbortController
  waiting: Waiting[]
}

interface Waiting {
  until: number
  onRefused: () => void
}

export interface PermitsBenchOptions {
  /** Instances that serve, and ones that stand by. */
  serving: number
  standby: number
  seed?: number
  way?: Way
}

/** Several instances before one server that names a limit, and whose lives end and begin. */
export class PermitsBench {
  readonly clock = new ManualClock()
  readonly hub: FakeHub
  readonly serving: string[]
  readonly sends: Send[] = []
  refused = 0
  private readonly names: string[]
  private readonly lives = new Map<string, Life>()
  /** When a direction between two instances was cut; the link is open for them until they suspect it. */
  private readonly cutAt = new Map<string, number>()
  /** Until when an instance is excused. */
  private readonly excusedUntil = new Map<string, number>()

  constructor (private readonly opts: PermitsBenchOptions, private perSecond: number | undefined) {
    this.hub = new FakeHub({ clock: this.clock, random: new RandomSource(opts.seed ?? 5) })
    this.hub.maxDelayMs = 3
    this.serving = Array.from({ length: opts.serving }, (_, at) => `e${at}`)
    this.names = [...this.serving, ...Array.from({ length: opts.standby }, (_, at) => `s${at}`)]
    for (const name of this.names) this.begin(name)
    for (const name of this.serving) this.hear(name)
  }

  /** The server names another limit to one instance; the others hear of it. */
  name (perSecond: number | undefined): void {
    this.perSecond = perSecond
    for (const name of this.serving) this.hear(name)
  }

  /** A request for the server comes to an instance. */
  request (at: number): void {
    const name = this.serving[at % this.serving.length] as string
    const life = this.lives.get(name)
    if (!life) return
    if (this.trySend(name, life)) return
    life.waiting.push({ until: this.clock.readTime() + PATIENCE_MS, onRefused: () => this.refused++ })
    life.permits.request(this.find(life), life.waiting.length)
  }

  /** Ends a life at once; the next one begins a moment later. */
  restart (name: string): void {
    const life = this.lives.get(name)
    if (!life) return
    this.end(name, life)
    this.excuse(name, RESTART_MS)
    this.clock.setTimer(RESTART_MS, () => {
      this.begin(name)
      this.hear(name)
    })
  }

  /** Ends a life for good. */
  remove (name: string): void {
    const life = this.lives.get(name)
    if (life) this.end(name, life)
  }

  /** Keeps back what two instances send each other, in silence, until all is healed. */
  hold (one: string, other: string): void {
    if (one === other) return
    this.hub.hold(one, other)
    this.hub.hold(other, one)
    this.cutAt.set([one, other].sort().join(), this.clock.readTime())
    for (const name of [one, other]) this.excusedUntil.set(name, Infinity)
  }

  heal (): void {
    this.cutAt.clear()
    this.hub.releaseAll()
    for (const [name, until] of this.excusedUntil) if (until === Infinity) this.excuse(name, 0)
  }

  /** The most that a window holds of the requests of instances that nothing excuses, beyond what the platform allows. */
  measureExcess (limit: number, after = 0): number {
    const sends = this.sends.filter(({ at }) => at >= after).map(({ at }) => at)
    const most = Math.max(0, ...sends.map((from) => sends.filter((at) => at >= from && at < from + WINDOW_MS).length))
    return most - computeAllowed(limit)
  }

  private trySend (name: string, life: Life): boolean {
    const now = this.clock.readTime()
    const backend = this.find(life)
    if (backend.stated.limit.perSecond !== undefined && !life.permits.take(backend)) return false
    if (now >= (this.excusedUntil.get(name) ?? -Infinity)) this.sends.push({ at: now, from: name })
    return true
  }

  private pump (name: string): void {
    const life = this.lives.get(name)
    if (!life) return
    const now = this.clock.readTime()
    life.waiting.filter(({ until }) => until <= now).forEach(({ onRefused }) => onRefused())
    life.waiting = life.waiting.filter(({ until }) => until > now)
    while (life.waiting.length > 0 && this.trySend(name, life)) life.waiting.shift()
    if (life.waiting.length > 0) life.permits.request(this.find(life), life.waiting.length)
  }

  private excuse (name: string, ms: number): void {
    this.excusedUntil.set(name, this.clock.readTime() + ms + CONTACT_MS)
  }

  private end (name: string, life: Life): void {
    life.ended.abort()
    this.lives.delete(name)
    this.hub.removeNode(name)
  }

  private begin (instance: string): void {
    const network = this.hub.createNode({ instance, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    const ended = new AbortController()
    const { clock } = this
    const fleet = new BackendFleet()
    const isServing = this.serving.includes(instance)
    // An instance on standby doesn't follow the store, so that it knows no servers.
    if (isServing) fleet.put({ id: SERVER, service: 's', address: 'a:1', dataHall: 'z', slots: 99, draining: false, models: undefined, inMemory: [], onDisk: [] })
    const standing = {
      instance,
      countInstances: () => this.names.length,
      isServing: () => isServing,
      listServing: () => network.listLinked().filter((other) => this.serving.includes(other) && !this.isSuspected(instance, other)),
    }
    const random = new RandomSource(this.names.indexOf(instance))
    const isRestarted = this.clock.readTime() > 0
    const permits = this.createWay({ clock, random, network, fleet, standing, isRestarted, onChange: () => this.pump(instance) })
    permits.start(ended.signal)
    const listStandby = (): string[] => isServing ? network.listLinked().filter((other) => !this.serving.includes(other)) : []
    shareLimits({ clock, network, fleet, listStandby, onNews: () => undefined }, ended.signal)
    this.lives.set(instance, { fleet, permits, network, ended, waiting: [] })
  }

  private createWay (opts: PermitWayOptions): PermitWay {
    const { way = Ways.POOLED } = this.opts
    if (way === Ways.POOLED) return new PooledWay(opts)
    if (way === Ways.OWNED) return new OwnedWay(opts)
    return new PartsWay(opts, computeAllowed(this.perSecond ?? 0), WINDOW_MS)
  }

  /** The instance gets an answer of the server, if it serves. */
  private hear (name: string): void {
    const life = this.lives.get(name)
    const backend = life?.fleet.find(SERVER)
    if (!life || !backend) return
    const now = this.clock.readTime()
    life.fleet.noteLimit(backend, { perSecond: this.perSecond, saidAfter: now, saidBefore: now })
  }

  private find ({ fleet }: Life): Backend {
    return fleet.find(SERVER) as Backend
  }

  private isSuspected (one: string, other: string): boolean {
    const since = this.cutAt.get([one, other].sort().join())
    return since !== undefined && this.clock.readTime() - since > SUSPECT_MS
  }
}

/** Requests that the platform allows in a window. */
function computeAllowed (limit: number): number {
  return Math.floor(limit * WINDOW_MS / 1_000 * OVER + EXTRA)
}
