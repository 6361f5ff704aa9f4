import { QuotaUnits, RouteTable, type Team, type TeamQuota } from '@pulleystack/config.routes'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub, type FakeNetwork } from '@pulleystack/membership.fake-network'
import { CountedLimits, PooledLimits, type RateBounds, type TeamLimits } from '../src/index.js'

export const BOUNDS: RateBounds = { windowMs: 8_000, over: 0.1, slack: 110_000 }
/** An instance that was killed is back after so long. */
const RESTART_MS = 500
/** A link that carries nothing is found to be silent after so long. */
const SUSPECT_MS = 2_400

export const Ways = { POOLED: 'pooled', COUNTED: 'counted' } as const
export type Way = typeof Ways[keyof typeof Ways]

/** Units that one request took. */
interface Use {
  at: number
  units: number
}

/** One life of one instance. */
interface Life {
  limits: TeamLimits
  network: FakeNetwork
  ended: AbortController
}

export interface LimitsBenchOptions {
  /** Instances that serve, and ones that stand by. */
  serving: number
  standby: number
  way?: Way
  seed?: number
}

/** Several instances that keep one team's quota, and whose lives end and begin. */
export class LimitsBench {
  readonly clock = new ManualClock()
  readonly hub: FakeHub
  readonly serving: string[]
  readonly uses: Use[] = []
  refused = 0
  /** Milliseconds from each request to its verdict. */
  readonly waitsMs: number[] = []
  private readonly names: string[]
  private readonly lives = new Map<string, Life>()
  /** When a direction between two instances was cut; the link is open for them until they suspect it. */
  private readonly cutAt = new Map<string, number>()
  private table: RouteTable
  private team: Team

  constructor (private readonly opts: LimitsBenchOptions, quota: TeamQuota) {
    this.hub = new FakeHub({ clock: this.clock, random: new RandomSource(opts.seed ?? 5) })
    this.hub.maxDelayMs = 3
    this.serving = Array.from({ length: opts.serving }, (_, at) => `e${at}`)
    this.names = [...this.serving, ...Array.from({ length: opts.standby }, (_, at) => `s${at}`)]
    this.team = createTeam(quota)
    this.table = createTable(this.team)
    for (const name of this.names) this.begin(name)
  }

  setQuota (quota: TeamQuota): void {
    this.team = createTeam(quota)
    this.table = createTable(this.team)
  }

  /** A request comes to an instance; its verdict is noted when it is there. */
  request (at: number, units: number, onVerdict: (isGranted: boolean) => void = () => undefined): void {
    const life = this.lives.get(this.serving[at % this.serving.length] as string)
    if (!life) return
    const askedAt = this.clock.readTime()
    const note = (isGranted: boolean): void => {
      if (isGranted) this.uses.push({ at: this.clock.readTime(), units })
      else this.refused++
      this.waitsMs.push(this.clock.readTime() - askedAt)
      onVerdict(isGranted)
    }
    void life.limits.acquire(this.team, units).then((verdict) => note(verdict.isGranted), () => note(false))
  }

  giveBack (at: number, units: number): void {
    this.lives.get(this.serving[at % this.serving.length] as string)?.limits.giveBack(this.team, units)
  }

  /** Ends a life at once; the next one begins a moment later. */
  restart (name: string): void {
    const life = this.lives.get(name)
    if (!life) return
    life.ended.abort()
    this.lives.delete(name)
    this.hub.removeNode(name)
    this.clock.setTimer(RESTART_MS, () => this.begin(name))
  }

  /** Keeps back what two instances send each other, in silence, until all is healed. */
  hold (one: string, other: string): void {
    if (one === other) return
    this.hub.hold(one, other)
    this.hub.hold(other, one)
    this.cutAt.set([one, other].sort().join(), this.clock.readTime())
  }

  heal (): void {
    this.cutAt.clear()
    this.hub.releaseAll()
  }

  /** The most that a window holds beyond what the operator allows of a quota. */
  measureExcess ({ ratePerSecond, burst }: TeamQuota): number {
    const { windowMs, over, slack } = BOUNDS
    const allowed = (ratePerSecond * windowMs / 1000 + burst) * (1 + over) + slack
    const used = this.uses.map(({ at: from }) => this.uses.reduce((sum, use) => use.at >= from && use.at < from + windowMs ? sum + use.units : sum, 0))
    return Math.max(0, ...used) - allowed
  }

  private begin (instance: string): void {
    const network = this.hub.createNode({ instance, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    const ended = new AbortController()
    const { clock } = this
    const readTable = (): RouteTable => this.table
    const standing = {
      instance,
      countInstances: () => this.names.length,
      isServing: () => this.serving.includes(instance),
      listServing: () => network.listLinked().filter((other) => this.serving.includes(other) && !this.isSuspected(instance, other)),
    }
    const limits = (this.opts.way ?? Ways.POOLED) === Ways.POOLED
      ? new PooledLimits({ clock, network, standing, bounds: BOUNDS, readTable })
      : new CountedLimits({ clock, network, readTable })
    limits.start(ended.signal)
    this.lives.set(instance, { limits, network, ended })
  }

  private isSuspected (one: string, other: string): boolean {
    const since = this.cutAt.get([one, other].sort().join())
    return since !== undefined && this.clock.readTime() - since > SUSPECT_MS
  }
}

/** A quota in tokens whose burst is what its rate brings in a second. */
export function createQuota (ratePerSecond: number): TeamQuota {
  return { unit: QuotaUnits.TOKENS, ratePerSecond, burst: ratePerSecond, plainTokens: 200 }
}

function createTeam (quota: TeamQuota): Team {
  return { name: 'valuers', keyHashes: [], priority: undefined, quota }
}

function createTable (team: Team): RouteTable {
  return new RouteTable({ version: 1, routes: [], services: [], teams: [team], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
}
